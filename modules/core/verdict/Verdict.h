#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"

#include <cstdint>

namespace cuminrail {

/**
    Whether a request may have run at an upstream.

    NotRun is a promise: it is said only of a request of which provably no byte reached an
    upstream, or that the upstream itself refused before running.
*/
enum class Verdict : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

inline constexpr NameTable<Verdict, 3> verdictNames{{{
    {Verdict::NotRun, "not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}}};

/** How one attempt to run a request ended. */
struct AttemptOutcome
{
    Verdict verdict = Verdict::NotRun;
    Reason lastReason;

    /** Returns true when another attempt cannot make the request run twice. */
    bool isSafeToRepeat() const { return verdict == Verdict::NotRun; }
};

} // namespace cuminrail

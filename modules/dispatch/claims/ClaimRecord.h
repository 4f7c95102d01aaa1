#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** How far the run that a claim stands for has come. */
enum class ClaimState : std::uint8_t {
    /** Someone is about to send the request, is sending it, or died doing so. */
    Claimed,
    /** It provably did not run; the next repeat may take the claim over. */
    NotRun,
    /** The outcome is unknown for good; it is never sent again. */
    MayHaveRun,
    /** It ran; the answer is stored, or was too large to be. */
    Done,
};

inline constexpr NameTable<ClaimState, 4> claimStateNames{{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::NotRun, "not-run"},
    {ClaimState::MayHaveRun, "may-have-run"},
    {ClaimState::Done, "done"},
}}};

/** An answer kept for repeats of the call. */
struct StoredAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /** False when the body was over the limit; repeats learn that it ran, not what it said. */
    bool complete = true;
};

/** Answers with larger bodies are not stored: the store takes values of a megabyte at most. */
inline constexpr std::size_t maxStoredBody = 256 * 1024;

/**
    The object "claims/<customer>/<hash of the Idempotency-Key>".

    @see ClaimKeeper
*/
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    /** Made anew for every claim, so that its writer knows its own write when it reads back. */
    std::string token;
    InstanceId instance;
    Incarnation incarnation = 0;
    /** Lower-case hexadecimal SHA-256 of method, path and body. */
    std::string requestSha256;
    StoredAnswer answer;

    /** Returns the text to store. Bodies that are not UTF-8 are kept byte for byte. */
    std::string toText() const;

    /** Reads a stored text. Returns nothing, with a reason, for anything else. */
    static std::optional<ClaimRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail

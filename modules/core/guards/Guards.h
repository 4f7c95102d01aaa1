#pragma once

#include "core/names/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminrail {

/**
    Pieces of code that keep a promise, each of which tests can switch off.

    A promise whose guard can be taken out without any test noticing is not proved. The mutation
    run switches one off at a time and lists the tests that turn red. GuardList.inc has one line
    for each: its name in code, its name for people, and what it does.

    @see guardEnabled
*/
enum class Guard : std::uint8_t {
#define CUMINRAIL_GUARD(guard, name, meaning) guard,
#include "core/guards/GuardList.inc"
#undef CUMINRAIL_GUARD
    Count,
};

/** How many guards there are. */
inline constexpr auto guardCount = static_cast<std::size_t>(Guard::Count);

inline constexpr NameTable<Guard, guardCount> guardNames{{{
#define CUMINRAIL_GUARD(guard, name, meaning) {Guard::guard, name},
#include "core/guards/GuardList.inc"
#undef CUMINRAIL_GUARD
}}};

/** What each guard does, for the mutation run's table. */
inline constexpr NameTable<Guard, guardCount> guardMeanings{{{
#define CUMINRAIL_GUARD(guard, name, meaning) {Guard::guard, meaning},
#include "core/guards/GuardList.inc"
#undef CUMINRAIL_GUARD
}}};

namespace detail {
/** The guard that a test has switched off, Guard::Count for none. */
inline Guard disabledGuard = Guard::Count;
} // namespace detail

/** Returns true unless a test has switched this guard off. */
inline bool guardEnabled(Guard guard)
{
    return detail::disabledGuard != guard;
}

/** Switches one guard off for as long as this object lives. For tests alone. */
class DisabledGuard
{
public:
    explicit DisabledGuard(Guard guard) : previous_(detail::disabledGuard)
    {
        detail::disabledGuard = guard;
    }
    ~DisabledGuard() { detail::disabledGuard = previous_; }
    DisabledGuard(const DisabledGuard &) = delete;
    DisabledGuard &operator=(const DisabledGuard &) = delete;

private:
    Guard previous_;
};

} // namespace cuminrail

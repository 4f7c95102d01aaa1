#pragma once

#include "core/time/Clock.h"

#include <cstdint>

namespace cuminrail {

/**
    Returns the number of the first query that an exchange sends after its start.

    An instance starts again at its address, and replies are told by sender and number. Numbers go
    on from a start to the next one: a late reply to a query of the process before is no reply to
    a query of this one.
*/
inline std::uint64_t firstQueryNumber(const Clock &clock)
{
    // More queries than an instance sends in a millisecond.
    constexpr std::uint64_t perMilli = 1024;
    return static_cast<std::uint64_t>(clock.now().count()) * perMilli + 1;
}

} // namespace cuminrail

#pragma once

#include "core/time/Millis.h"

#include <algorithm>
#include <cstddef>

namespace cuminrail {

/** The writes a second that all instances' usage counters together may cost the store. */
inline constexpr std::size_t usageWritesPerSecond = 40;

/** The shortest span between two writes of one instance's counters for one team. */
inline constexpr Millis shortestFlushPeriod = Millis::seconds(10);

/**
    Returns how often an instance writes each team's counters.

    It bounds what is lost when an instance dies, so it is as short as the store allows.
*/
inline Millis flushPeriod(std::size_t instances, std::size_t teams)
{
    const std::size_t objects = instances * teams;
    const auto spread = static_cast<std::int64_t>(objects * 1000 / usageWritesPerSecond);
    return std::max(shortestFlushPeriod, Millis(spread));
}

} // namespace cuminrail

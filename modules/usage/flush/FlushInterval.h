#pragma once

#include "core/time/Millis.h"

#include <algorithm>
#include <cstddef>

namespace cuminrail {

/** Maximum writes per second to the store by the usage counters of all instances together. */
inline constexpr std::size_t maxUsageWritesPerSecond = 40;

/** Minimum interval between two writes of one instance's counters for one team. */
inline constexpr Millis minFlushInterval = Millis::seconds(10);

/**
    Returns the interval at which an instance writes the counters of each team.

    It bounds the usage lost when an instance dies, so it is as short as the store permits.
*/
inline Millis flushInterval(std::size_t instances, std::size_t teams)
{
    const std::size_t objects = instances * teams;
    const auto interval = static_cast<std::int64_t>(objects * 1000 / maxUsageWritesPerSecond);
    return std::max(minFlushInterval, Millis(interval));
}

} // namespace cuminrail

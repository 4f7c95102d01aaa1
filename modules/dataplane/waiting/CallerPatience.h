#pragma once

#include "dataplane/model/Configuration.h"

#include <algorithm>

namespace cuminrail {

/**
    Returns how long a stream's caller waits without an event before it leaves.

    It is what the users' callers do by their interface's description: two seconds, four goals or
    eight of the longest good pauses, whichever is longest.
*/
inline Millis callerPatience(Millis goal, Millis gapGoal)
{
    return std::max({Millis::seconds(2), goal * 4, gapGoal * 8});
}

inline Millis callerPatience(const Route &route)
{
    return callerPatience(route.goal, route.gapGoal);
}

} // namespace cuminrail

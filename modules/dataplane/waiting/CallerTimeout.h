#pragma once

#include "dataplane/model/Configuration.h"

#include <algorithm>

namespace cuminrail {

/**
    Returns how long a stream's caller waits without an event before it disconnects.

    The interface of the users' callers specifies it: two seconds, four times the latency target or
    eight times the target for the gap between events, whichever is longest.
*/
inline Millis callerTimeout(Millis goal, Millis gapGoal)
{
    return std::max({Millis::seconds(2), goal * 4, gapGoal * 8});
}

inline Millis callerTimeout(const Route &route)
{
    return callerTimeout(route.goal, route.gapGoal);
}

} // namespace cuminrail

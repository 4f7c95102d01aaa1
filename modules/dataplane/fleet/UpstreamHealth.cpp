#include "dataplane/fleet/UpstreamHealth.h"

#include <algorithm>

namespace cuminrail {

void UpstreamHealth::record(const std::string &upstream, AttemptSign sign, Millis now)
{
    if (sign == AttemptSign::Full)
        return;
    State &state = states_[upstream];
    // An answered failure is common for some services and says less than a broken connection.
    const double badness = sign == AttemptSign::Good ? 0.0 : sign == AttemptSign::Failure ? 0.5 : 1;
    state.bad += sampleWeight * (badness - state.bad);
    if (sign == AttemptSign::Good && state.bad < setAsideAbove / 2)
        state.pause = Millis(0);
    if (sign != AttemptSign::Broken || state.bad < setAsideAbove || now < state.until)
        return;
    state.pause = std::clamp(state.pause * 2, firstPause, longestPause);
    state.until = now + state.pause;
    // After the pause one more break is enough to set it aside again.
    state.bad = setAsideAbove;
}

bool UpstreamHealth::isSetAside(const std::string &upstream, Millis now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && now < found->second.until;
}

double UpstreamHealth::badShare(const std::string &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0.0 : found->second.bad;
}

} // namespace cuminrail

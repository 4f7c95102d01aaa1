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
    if (sign == AttemptSign::Good) {
        state.isOnTrial = false;
        state.trialUntil = Millis(-1);
        if (state.bad < setAsideAbove / 2)
            state.pause = Millis(0);
    }
    if (sign != AttemptSign::Broken || state.bad < setAsideAbove || now < state.until)
        return;
    state.pause = std::clamp(state.pause * 2, firstPause, longestPause);
    state.until = now + state.pause;
    state.trialUntil = Millis(-1);
    state.isOnTrial = true;
    // After the pause one more break is enough to set it aside again.
    state.bad = setAsideAbove;
}

bool UpstreamHealth::isSetAside(const std::string &upstream, Millis now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end())
        return false;
    return now < found->second.until || now < found->second.trialUntil;
}

void UpstreamHealth::started(const std::string &upstream, Millis now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || !found->second.isOnTrial || now < found->second.until)
        return;
    found->second.trialUntil = now + trialTime;
}

bool UpstreamHealth::hasProgressed(const std::string &upstream, Millis span, Millis now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && now - found->second.progress <= span;
}

double UpstreamHealth::badShare(const std::string &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0.0 : found->second.bad;
}

} // namespace cuminrail

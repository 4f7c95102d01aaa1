#include "dataplane/fleet/UpstreamHealth.h"

#include <algorithm>

namespace cuminrail {

void UpstreamHealth::record(const std::string &upstream, AttemptSign sign, Millis now)
{
    if (sign == AttemptSign::Full)
        return;
    State &state = states_[upstream];
    // Error responses are common for some services and show less than a broken connection.
    const double badness = sign == AttemptSign::Good ? 0.0 : sign == AttemptSign::Failure ? 0.5 : 1;
    state.badShare += sampleWeight * (badness - state.badShare);
    if (sign == AttemptSign::Good) {
        state.isOnTrial = false;
        state.trialUntil = Millis(-1);
        if (state.badShare < ejectionThreshold / 2)
            state.ejectionTime = Millis(0);
    }
    if (sign != AttemptSign::Broken || state.badShare < ejectionThreshold
        || now < state.ejectedUntil)
        return;
    state.ejectionTime = std::clamp(state.ejectionTime * 2, minEjectionTime, maxEjectionTime);
    state.ejectedUntil = now + state.ejectionTime;
    state.trialUntil = Millis(-1);
    state.isOnTrial = true;
    // After the ejection a single broken attempt is enough to eject it again.
    state.badShare = ejectionThreshold;
}

bool UpstreamHealth::isEjected(const std::string &upstream, Millis now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end())
        return false;
    return now < found->second.ejectedUntil || now < found->second.trialUntil;
}

void UpstreamHealth::started(const std::string &upstream, Millis now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || !found->second.isOnTrial || now < found->second.ejectedUntil)
        return;
    found->second.trialUntil = now + trialTimeout;
}

void UpstreamHealth::forgetEjections()
{
    for (auto &[upstream, state] : states_) {
        const Millis progress = state.lastProgressAt;
        state = {};
        state.lastProgressAt = progress;
    }
}

bool UpstreamHealth::hasProgressed(const std::string &upstream, Millis span, Millis now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && now - found->second.lastProgressAt <= span;
}

double UpstreamHealth::badShare(const std::string &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0.0 : found->second.badShare;
}

} // namespace cuminrail

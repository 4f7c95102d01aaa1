#include "dataplane/fleet/UpstreamBackoff.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

bool UpstreamBackoff::request(UpstreamIncarnation incarnation, Millis pause, Millis now)
{
    if (pause <= Millis(0) || !guardEnabled(Guard::PauseKept))
        return false;
    const Millis until = now + std::min(pause, maxPause);
    State &state = states_[incarnation];
    state.trialUntil.reset();
    if (until <= state.until)
        return false;
    state.until = until;
    return true;
}

std::optional<Millis> UpstreamBackoff::remaining(UpstreamIncarnation incarnation, Millis now) const
{
    const auto found = states_.find(incarnation);
    if (found == states_.end())
        return std::nullopt;
    const State &state = found->second;
    if (now < state.until)
        return state.until - now;
    const bool isOnTrial = state.trialUntil && now < *state.trialUntil;
    if (!isOnTrial || !guardEnabled(Guard::OneTrialAfterPause))
        return std::nullopt;
    return *state.trialUntil - now;
}

void UpstreamBackoff::started(UpstreamIncarnation incarnation, Millis now)
{
    const auto found = states_.find(incarnation);
    if (found != states_.end() && now >= found->second.until)
        found->second.trialUntil = now + trialTimeout;
}

void UpstreamBackoff::responded(UpstreamIncarnation incarnation, Millis now)
{
    // A response to a request from before the refusal does not end the pause.
    const auto found = states_.find(incarnation);
    if (found != states_.end() && now >= found->second.until)
        states_.erase(found);
}

void UpstreamBackoff::aborted(UpstreamIncarnation incarnation, Millis now)
{
    const auto found = states_.find(incarnation);
    if (found != states_.end() && now >= found->second.until)
        found->second.trialUntil.reset();
}

void UpstreamBackoff::expire(Millis now)
{
    for (auto it = states_.begin(); it != states_.end();)
        it = now - it->second.until >= retention ? states_.erase(it) : std::next(it);
}

} // namespace cuminrail

#include "membership/detector/ProbeTracker.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

std::uint64_t ProbeTracker::begin(const InstanceId &target, Millis now)
{
    outstanding_[++lastSequence_] = OutstandingProbe{target, now, false};
    return lastSequence_;
}

std::uint64_t ProbeTracker::beginRelayed(RelayedProbe probe)
{
    relayed_[++lastSequence_] = std::move(probe);
    return lastSequence_;
}

std::optional<OutstandingProbe> ProbeTracker::handleAck(std::uint64_t sequence,
                                                        const InstanceId &responder)
{
    const auto found = outstanding_.find(sequence);
    if (found == outstanding_.end() || found->second.target != responder)
        return std::nullopt;
    OutstandingProbe probe = found->second;
    outstanding_.erase(found);
    lastResults_[probe.target] = true;
    return probe;
}

std::optional<RelayedProbe> ProbeTracker::handleRelayedAck(std::uint64_t sequence,
                                                           const InstanceId &responder)
{
    const auto found = relayed_.find(sequence);
    if (found == relayed_.end() || found->second.target != responder)
        return std::nullopt;
    RelayedProbe probe = found->second;
    relayed_.erase(found);
    return probe;
}

OverdueProbes ProbeTracker::overdue(Millis now)
{
    OverdueProbes result;
    for (auto entry = outstanding_.begin(); entry != outstanding_.end();) {
        OutstandingProbe &probe = entry->second;
        const bool isLate = now >= probe.startedAt + directTimeout_;
        // One lost message or one broken link between two instances is no evidence against the
        // target: without indirect probes a single bad link would remove a healthy instance.
        const bool isExpired = isLate
            && (!guardEnabled(Guard::IndirectConfirmation)
                || now >= probe.startedAt + directTimeout_ + indirectTimeout_);
        if (isExpired) {
            lastResults_[probe.target] = false;
            result.unanswered.push_back(probe.target);
            entry = outstanding_.erase(entry);
            continue;
        }
        if (isLate && !probe.indirectRequested) {
            probe.indirectRequested = true;
            result.toConfirm.push_back(entry->first);
        }
        ++entry;
    }
    for (auto entry = relayed_.begin(); entry != relayed_.end();) {
        const bool isExpired = now >= entry->second.startedAt + directTimeout_ + indirectTimeout_;
        entry = isExpired ? relayed_.erase(entry) : std::next(entry);
    }
    return result;
}

const OutstandingProbe *ProbeTracker::find(std::uint64_t sequence) const
{
    const auto found = outstanding_.find(sequence);
    return found == outstanding_.end() ? nullptr : &found->second;
}

bool ProbeTracker::isProbing(const InstanceId &target) const
{
    return std::any_of(outstanding_.begin(), outstanding_.end(),
                       [&](const auto &entry) { return entry.second.target == target; });
}

void ProbeTracker::clear()
{
    outstanding_.clear();
    relayed_.clear();
}

std::optional<bool> ProbeTracker::lastProbeSucceeded(const InstanceId &target) const
{
    const auto found = lastResults_.find(target);
    return found == lastResults_.end() ? std::nullopt : std::optional<bool>(found->second);
}

void ProbeTracker::retainResults(const std::vector<InstanceId> &targets)
{
    for (auto entry = lastResults_.begin(); entry != lastResults_.end();) {
        const bool isKept =
            std::find(targets.begin(), targets.end(), entry->first) != targets.end();
        entry = isKept ? std::next(entry) : lastResults_.erase(entry);
    }
}

} // namespace cuminrail

#include "membership/detector/ProbeLedger.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

std::uint64_t ProbeLedger::begin(const InstanceId &target, Millis now)
{
    outstanding_[++lastSequence_] = OutstandingProbe{target, now, false};
    return lastSequence_;
}

std::uint64_t ProbeLedger::beginRelayed(RelayedProbe probe)
{
    relayed_[++lastSequence_] = std::move(probe);
    return lastSequence_;
}

std::optional<OutstandingProbe> ProbeLedger::answered(std::uint64_t sequence,
                                                      const InstanceId &answering)
{
    const auto found = outstanding_.find(sequence);
    if (found == outstanding_.end() || found->second.target != answering)
        return std::nullopt;
    OutstandingProbe probe = found->second;
    outstanding_.erase(found);
    lastAnswers_[probe.target] = true;
    return probe;
}

std::optional<RelayedProbe> ProbeLedger::relayedAnswered(std::uint64_t sequence,
                                                         const InstanceId &answering)
{
    const auto found = relayed_.find(sequence);
    if (found == relayed_.end() || found->second.target != answering)
        return std::nullopt;
    RelayedProbe probe = found->second;
    relayed_.erase(found);
    return probe;
}

OverdueProbes ProbeLedger::overdue(Millis now)
{
    OverdueProbes result;
    for (auto entry = outstanding_.begin(); entry != outstanding_.end();) {
        OutstandingProbe &probe = entry->second;
        const bool isLate = now >= probe.startedAt + directTimeout_;
        // One lost message or one broken path between two instances says nothing about the
        // target; without asking others, a single bad path would evict a healthy instance.
        const bool isOver = isLate
            && (!guardEnabled(Guard::IndirectConfirmation)
                || now >= probe.startedAt + directTimeout_ + indirectTimeout_);
        if (isOver) {
            lastAnswers_[probe.target] = false;
            result.silent.push_back(probe.target);
            entry = outstanding_.erase(entry);
            continue;
        }
        if (isLate && !probe.askedOthers) {
            probe.askedOthers = true;
            result.toConfirm.push_back(entry->first);
        }
        ++entry;
    }
    for (auto entry = relayed_.begin(); entry != relayed_.end();) {
        const bool isOver = now >= entry->second.startedAt + directTimeout_ + indirectTimeout_;
        entry = isOver ? relayed_.erase(entry) : std::next(entry);
    }
    return result;
}

const OutstandingProbe *ProbeLedger::find(std::uint64_t sequence) const
{
    const auto found = outstanding_.find(sequence);
    return found == outstanding_.end() ? nullptr : &found->second;
}

bool ProbeLedger::isProbing(const InstanceId &target) const
{
    return std::any_of(outstanding_.begin(), outstanding_.end(),
                       [&](const auto &entry) { return entry.second.target == target; });
}

void ProbeLedger::clear()
{
    outstanding_.clear();
    relayed_.clear();
}

std::optional<bool> ProbeLedger::lastAnswer(const InstanceId &target) const
{
    const auto found = lastAnswers_.find(target);
    return found == lastAnswers_.end() ? std::nullopt : std::optional<bool>(found->second);
}

void ProbeLedger::retainResults(const std::vector<InstanceId> &targets)
{
    for (auto entry = lastAnswers_.begin(); entry != lastAnswers_.end();) {
        const bool isKept =
            std::find(targets.begin(), targets.end(), entry->first) != targets.end();
        entry = isKept ? std::next(entry) : lastAnswers_.erase(entry);
    }
}

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail {

/** A probe that has not been answered yet. */
struct OutstandingProbe
{
    InstanceId target;
    Millis startedAt;
    /** Whether others were asked to confirm the silence. */
    bool askedOthers = false;
};

/** A probe made for another instance, which waits for the answer. */
struct RelayedProbe
{
    InstanceId target;
    InstanceId asker;
    std::uint64_t askerSequence = 0;
    Millis startedAt;
};

/** What is to be done about probes that were not answered in time. */
struct OverdueProbes
{
    /** Others are to be asked about these. */
    std::vector<std::uint64_t> toConfirm;
    /** Neither the target nor the others answered. */
    std::vector<InstanceId> silent;
};

/** Keeps account of probes: which are out, which are overdue, how each target answered last. */
class ProbeLedger
{
public:
    ProbeLedger(Millis directTimeout, Millis indirectTimeout)
        : directTimeout_(directTimeout), indirectTimeout_(indirectTimeout)
    { }

    std::uint64_t begin(const InstanceId &target, Millis now);
    std::uint64_t beginRelayed(RelayedProbe probe);

    /** Takes the answer to an own probe; nothing when it is none, or came too late. */
    std::optional<OutstandingProbe> answered(std::uint64_t sequence, const InstanceId &answering);
    /** Takes the answer to a relayed probe. */
    std::optional<RelayedProbe> relayedAnswered(std::uint64_t sequence,
                                                const InstanceId &answering);

    /** Returns what is overdue; a probe is returned once as toConfirm and once as silent. */
    OverdueProbes overdue(Millis now);

    const OutstandingProbe *find(std::uint64_t sequence) const;
    bool isProbing(const InstanceId &target) const;

    /** Forgets all probes that are out, as after a pause of this process. */
    void clear();

    /** Returns whether a member's last finished probe was answered; nothing before the first. */
    std::optional<bool> lastAnswer(const InstanceId &target) const;
    /** Forgets results of members that are not in the list. */
    void retainResults(const std::vector<InstanceId> &targets);

private:
    Millis directTimeout_;
    Millis indirectTimeout_;
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, OutstandingProbe> outstanding_;
    std::map<std::uint64_t, RelayedProbe> relayed_;
    std::map<InstanceId, bool> lastAnswers_;
};

} // namespace cuminrail

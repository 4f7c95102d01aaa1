#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail {

/** A probe without an ack so far. */
struct OutstandingProbe
{
    InstanceId target;
    Millis startedAt;
    /** Whether other members were asked to probe the target. */
    bool indirectRequested = false;
};

/** A probe sent on behalf of another instance, which is waiting for the result. */
struct RelayedProbe
{
    InstanceId target;
    InstanceId requester;
    std::uint64_t requesterSequence = 0;
    Millis startedAt;
};

/** Probes that timed out. */
struct OverdueProbes
{
    /** Sequences of probes that other members have to be asked to repeat. */
    std::vector<std::uint64_t> toConfirm;
    /** Targets that responded neither directly nor through other members. */
    std::vector<InstanceId> unanswered;
};

/** Tracks probes: which are outstanding, which are overdue, and the last result for each target. */
class ProbeTracker
{
public:
    ProbeTracker(Millis directTimeout, Millis indirectTimeout)
        : directTimeout_(directTimeout), indirectTimeout_(indirectTimeout)
    { }

    std::uint64_t begin(const InstanceId &target, Millis now);
    std::uint64_t beginRelayed(RelayedProbe probe);

    /**
        Handles the ack to a probe of this instance; returns nothing if there is no such probe or
        the ack came too late.
    */
    std::optional<OutstandingProbe> handleAck(std::uint64_t sequence, const InstanceId &responder);
    /** Handles the ack to a relayed probe. */
    std::optional<RelayedProbe> handleRelayedAck(std::uint64_t sequence,
                                                 const InstanceId &responder);

    /** Returns overdue probes; each is returned once as toConfirm and once as unanswered. */
    OverdueProbes overdue(Millis now);

    const OutstandingProbe *find(std::uint64_t sequence) const;
    bool isProbing(const InstanceId &target) const;

    /** Drops all outstanding probes, as after a pause of this process. */
    void clear();

    /**
        Returns whether the target responded to its last completed probe; nothing before the first.
    */
    std::optional<bool> lastProbeSucceeded(const InstanceId &target) const;
    /** Drops the results of targets that are not in the list. */
    void retainResults(const std::vector<InstanceId> &targets);

private:
    Millis directTimeout_;
    Millis indirectTimeout_;
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, OutstandingProbe> outstanding_;
    std::map<std::uint64_t, RelayedProbe> relayed_;
    std::map<InstanceId, bool> lastResults_;
};

} // namespace cuminrail

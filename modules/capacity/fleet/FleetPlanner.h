#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/fleet/FleetOrdering.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace cuminrail {

/** The upstreams of one cost class in one failure domain. */
struct Zone
{
    FailureDomainId domain;
    CostClass costClass = CostClass::Regular;

    bool operator<(const Zone &other) const
    {
        return std::tie(domain, costClass) < std::tie(other.domain, other.costClass);
    }
    bool operator==(const Zone &other) const
    {
        return domain == other.domain && costClass == other.costClass;
    }
};

/** The work that the fleet has to do, in fully utilised engines. */
struct FleetDemand
{
    double engines = 0;
    /**
        Share of the work that may be interrupted, repeated and deferred: idempotent, resumable,
        without a near deadline, and within its team's share of reclaimable capacity. Never a
        lodging or invoice.
    */
    double interruptibleShare = 0;
    /** Factor that operators declared for this day; 1 on ordinary days. */
    double expectedFactor = 1;
};

struct FleetInput
{
    FleetDemand demand;
    std::vector<FailureDomainId> domains;
    /** The current target of each zone. */
    std::map<Zone, std::uint32_t> targets;
    std::uint32_t minPerDomain = 1;
    std::uint32_t maxPerZone = 1000;
};

struct FleetPlannerOptions
{
    double utilisation = 0.75;
    /** How long demand has to stay lower before a zone's target is lowered. */
    Millis loweringDelay = Millis::minutes(10);
    /** Minimum time an upstream keeps running after its start, whatever the demand. */
    Millis minUptime = Millis::minutes(20);
};

/** A zone's new target. */
struct ZoneTarget
{
    Zone zone;
    std::uint32_t count = 0;
};

/**
    Decides how many upstreams each failure domain should have, by cost class.

    Considers the current demand and the days that operators declared; it has no calendar of its
    own, because the busy days differ every year. With one whole failure domain lost, the regular
    upstreams alone have capacity for all uninterruptible work; reclaimable ones are added for the
    rest. Raises targets immediately, lowers them after a delay and by one at a time.
*/
class FleetPlanner
{
public:
    explicit FleetPlanner(const FleetPlannerOptions &options) : options_(options) { }

    /** Returns the zones whose target has to change now. */
    std::vector<ZoneTarget> decide(Millis now, const FleetInput &input);

    /**
        Returns the number of upstreams that a zone should have for this demand, without any delay.
    */
    std::uint32_t requiredCount(const FleetInput &input, CostClass costClass) const;

private:
    struct ZoneState
    {
        std::optional<Millis> lowDemandSince;
        std::optional<Millis> raisedAt;
    };

    std::optional<std::uint32_t> nextTarget(Millis now, ZoneState &state, std::uint32_t current,
                                            std::uint32_t target) const;

    FleetPlannerOptions options_;
    std::map<Zone, ZoneState> zones_;
};

} // namespace cuminrail

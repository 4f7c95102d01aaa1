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

/** What the fleet has to carry, in engines kept fully busy. */
struct FleetDemand
{
    double engines = 0;
    /**
        The part of it that can be redone and may wait: idempotent, resumable, without a near
        deadline, and within its team's share of reclaimable capacity. Never a lodging or invoice.
    */
    double redoableShare = 0;
    /** What operators declared for this day; 1 on ordinary days. */
    double expectedFactor = 1;
};

struct FleetInput
{
    FleetDemand demand;
    std::vector<FailureDomainId> domains;
    /** What each zone's target is now. */
    std::map<Zone, std::uint32_t> targets;
    std::uint32_t leastPerDomain = 1;
    std::uint32_t mostPerZone = 1000;
};

struct FleetTiming
{
    double utilisation = 0.75;
    /** How long demand must have been lower before a zone's target is lowered. */
    Millis lowerAfter = Millis::minutes(10);
    /** How long an upstream that was started is kept, whatever the demand. */
    Millis minimumUp = Millis::minutes(20);
};

/** A zone's new target. */
struct ZoneTarget
{
    Zone zone;
    std::uint32_t count = 0;
};

/**
    Decides how many upstreams each failure domain should have, by cost class.

    Reacts to what is asked for and to days that operators declared; it keeps no calendar of its
    own, because the busy days move every year. Regular upstreams alone carry, with one whole
    failure domain lost, all work that cannot wait; reclaimable ones carry the rest. Raises at
    once, lowers late and by one.
*/
class FleetPlanner
{
public:
    explicit FleetPlanner(const FleetTiming &timing) : timing_(timing) { }

    /** Returns the zones whose target is to change now. */
    std::vector<ZoneTarget> decide(Millis now, const FleetInput &input);

    /** Returns how many upstreams a zone should have for this demand, without any delay. */
    std::uint32_t wanted(const FleetInput &input, CostClass costClass) const;

private:
    struct ZoneState
    {
        std::optional<Millis> lowSince;
        std::optional<Millis> raisedAt;
    };

    std::optional<std::uint32_t> step(Millis now, ZoneState &state, std::uint32_t current,
                                      std::uint32_t target) const;

    FleetTiming timing_;
    std::map<Zone, ZoneState> zones_;
};

} // namespace cuminrail

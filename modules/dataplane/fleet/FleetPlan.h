#pragma once

#include "dataplane/model/Configuration.h"

#include <cstdint>
#include <optional>

namespace cuminrail {

/** The upstreams of one service in one failure domain, as listed now. */
struct DomainFleet
{
    std::uint32_t regular = 0;
    std::uint32_t reclaimable = 0;
};

/** What else the plan must know of a domain. */
struct DomainSupply
{
    /** Nobody has asked anything yet: the fleet can be rebuilt at once. */
    bool isIdle = false;
    /** For how long the platform has had no reclaimable upstreams to give; 0 while it has. */
    Millis deniedFor;
    /** How long ago it last had none; nothing if it always had some. */
    std::optional<Millis> deniedAgo;
};

/** How many of each kind there should be. */
struct DomainTarget
{
    std::uint32_t regular = 0;
    std::uint32_t reclaimable = 0;

    bool operator==(const DomainTarget &other) const
    {
        return regular == other.regular && reclaimable == other.reclaimable;
    }
};

struct FleetPlanSettings
{
    /** The part of the operators' upper bound that is used. */
    double usedShare = 1.0;
    /**
        The part of the most upstreams that are regular ones. A domain's reclaimable ones go all at
        once, at two seconds' notice; what is kept must still answer its callers, with the help of
        the other domains, until others can be had.
    */
    double keptShare = 0.17;
    /** After a reclaim, so long without reclaimable upstreams leads to regular ones instead. */
    Millis denialBorne = Millis(1000);
    /** The part of the most upstreams that regular ones then make up. */
    double substituteShare = 0.5;
    /**
        How long those then stay. Within the operators' bounds a swap first gives up what works: the
        domain is short for two boots, some 10 s, and what was just reclaimed may be so again.
    */
    Millis substitutesStay = Millis::seconds(60);
};

/**
    How many upstreams of each kind one failure domain should have for a service.

    Reclaimable upstreams cost a fraction, so most of the work runs there, with twice the room at
    less than the former cost. Requests that are cut by a reclaim are few, since upstreams finish
    what they have within the notice. Regular upstreams are given up only once reclaimable ones
    stand ready, and the two together never exceed the operators' bounds.
*/
class FleetPlan
{
public:
    explicit FleetPlan(FleetPlanSettings settings = {}) : settings_(settings) { }

    DomainTarget decide(const ScaleBounds &bounds, const DomainFleet &now,
                        const DomainSupply &supply) const;

private:
    FleetPlanSettings settings_;
};

} // namespace cuminrail

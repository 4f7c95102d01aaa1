#pragma once

#include "dataplane/model/Configuration.h"

#include <cstdint>
#include <optional>

namespace cuminrail {

/** Number of upstreams of one service that are listed in one failure domain. */
struct DomainFleet
{
    std::uint32_t regular = 0;
    std::uint32_t reclaimable = 0;
};

/** Load of a domain, and availability of reclaimable upstreams there. */
struct DomainSupply
{
    /** There have been no requests yet: the fleet can be replaced at once. */
    bool isIdle = false;
    /** How long the platform has been denying reclaimable upstreams; 0 while it grants them. */
    Millis denialDuration;
    /** Time since it last denied them; not set if it never did. */
    std::optional<Millis> timeSinceDenial;
    /** Number of upstreams in the domain beyond which the instances cannot use more; optional. */
    std::optional<std::uint32_t> usable = std::nullopt;
};

/** Target number of upstreams of each kind in one failure domain. */
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
    /** Share of the operators' upper bound that is used. */
    double usedShare = 1.0;
    /**
        Upstreams for each instance, at most. The operators' bound says what may be ordered, not
        what the callers need: instances have few requests at a time each, and every further
        upstream is billed and listed everywhere.
    */
    double mostPerInstance = 4.5;
    /**
        Share of regular upstreams in the target number. All reclaimable upstreams of a domain are
        withdrawn at once, at two seconds' notice; the regular ones must then serve its callers,
        with the help of other domains, until replacements are available.
    */
    double keptShare = 0.17;
    /** After a denial of this duration, regular upstreams are ordered as substitutes. */
    Millis denialBorne = Millis(1000);
    /** Share of regular upstreams in the target number while they act as substitutes. */
    double substituteShare = 0.5;
    /**
        How long substitutes stay. Within the operators' bounds, replacing them first removes
        working upstreams: the domain lacks capacity for two boots, some 10 s, and reclaimable
        upstreams that were just withdrawn may soon be withdrawn again.
    */
    Millis substitutesStay = Millis::seconds(60);
};

/**
    Computes the target number of upstreams of each kind for a service in one failure domain.

    Reclaimable upstreams cost a fraction of regular ones, so they execute most of the work, with
    twice the capacity at less than the cost of regular upstreams alone. A reclaim interrupts few
    requests, since upstreams complete most of their work within the notice period. Regular
    upstreams are removed only once reclaimable ones are ready, and the total never exceeds the
    operators' bounds.
*/
class FleetPlan
{
public:
    explicit FleetPlan(FleetPlanSettings settings = {}) : settings_(settings) { }

    DomainTarget decide(const ScaleBounds &bounds, const DomainFleet &listed,
                        const DomainSupply &supply) const;

private:
    FleetPlanSettings settings_;
};

} // namespace cuminrail

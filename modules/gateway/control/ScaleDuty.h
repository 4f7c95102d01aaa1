#pragma once

#include "dataplane/fleet/FleetPlan.h"
#include "gateway/request/RelayContext.h"

#include <map>

namespace cuminrail {

/**
    Orders upstreams by failure domain while this instance holds the duty.

    Each order states the whole number wanted, so one that is repeated, or whose result is unknown,
    is simply given again; nothing is ever ordered as "one more". An order is given when the wanted
    number changes, and again when the fleet has not followed it in time.
*/
class ScaleDuty
{
public:
    ScaleDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority);

    /**
        Does what is due; to be called every few hundred milliseconds. @c isIdle while the system
        has only just been set up and nobody has asked anything.
    */
    void tick(bool isIdle);

private:
    struct Subject
    {
        std::string service;
        std::string failureDomain;

        bool operator<(const Subject &other) const
        {
            return std::tie(service, failureDomain) < std::tie(other.service, other.failureDomain);
        }
    };
    /** One kind of upstream of a subject. */
    struct Line
    {
        std::optional<std::uint32_t> ordered;
        Millis nextAt;
        bool isBusy = false;
        /** The platform had none to give, since then. */
        std::optional<Millis> deniedSince;
        std::optional<Millis> deniedLast;
    };
    struct State
    {
        explicit State(const FleetPlan &fleetPlan) : plan(fleetPlan) { }

        FleetPlan plan;
        Line regular;
        Line reclaimable;
    };

    void planService(const Service &service, bool isIdle);
    void orderIfDue(const Subject &subject, Line &line, const ScaleTarget &target,
                    std::uint32_t present, Millis boot);

    RelayContext &context_;
    std::function<std::optional<DutyAuthority>()> authority_;
    std::map<Subject, State> states_;
    Millis heldSince_ = Millis::never();
};

} // namespace cuminrail

#pragma once

#include "dataplane/fleet/FleetPlan.h"
#include "gateway/request/RelayContext.h"

#include <map>

namespace cuminrail {

/**
    Orders upstreams per failure domain while this instance holds the duty.

    Each order states the absolute number wanted, so it is idempotent and can be sent again when its
    result is unknown; nothing is ever ordered as "one more". An order is sent when the wanted
    number changes, and again if the fleet has not followed it in time.
*/
class ScaleDuty
{
public:
    ScaleDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority);

    /**
        Plans and orders when due; to be called every few hundred milliseconds. @c isIdle while the
        system has just been set up and has received no request.
    */
    void tick(bool isIdle);
    /** Sets the number of instances that send requests to the upstreams; unlimited by default. */
    void setInstances(std::size_t count) { instances_ = count; }

private:
    /** The upstreams of one service in one failure domain. */
    struct FleetKey
    {
        std::string service;
        std::string failureDomain;

        bool operator<(const FleetKey &other) const
        {
            return std::tie(service, failureDomain) < std::tie(other.service, other.failureDomain);
        }
    };
    /** Orders for one kind of upstream: regular or reclaimable. */
    struct OrderState
    {
        std::optional<std::uint32_t> orderedCount;
        Millis nextOrderAt;
        bool isPending = false;
        /** First and last refusal since the platform last accepted an order: it had no capacity. */
        std::optional<Millis> firstDeniedAt;
        std::optional<Millis> lastDeniedAt;
    };
    struct FleetState
    {
        explicit FleetState(const FleetPlan &fleetPlan) : plan(fleetPlan) { }

        FleetPlan plan;
        OrderState regular;
        OrderState reclaimable;
    };

    void planService(const Service &service, bool isIdle);
    void orderIfDue(const FleetKey &key, OrderState &order, const ScaleTarget &target,
                    std::uint32_t present, Millis boot);

    RelayContext &context_;
    std::function<std::optional<DutyAuthority>()> authority_;
    /** Returns how many upstreams of a domain the instances can use, if their number is known. */
    std::optional<std::uint32_t> usablePerDomain(std::size_t failureDomains) const;

    std::map<FleetKey, FleetState> states_;
    std::optional<std::size_t> instances_;
    Millis authorityGainedAt_ = Millis::never();
};

} // namespace cuminrail

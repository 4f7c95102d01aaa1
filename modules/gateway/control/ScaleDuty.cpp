#include "gateway/control/ScaleDuty.h"

#include "core/events/EventCatalogue.h"

#include <cmath>

namespace cuminrail {

namespace {

/** In addition to the boot time: until the new upstream's entry arrives through the store. */
constexpr Millis listingDelay = Millis(3000);
/** Delay before an order that was refused, or whose call failed, is sent again. */
constexpr Millis orderRetryDelay = Millis(1500);
/** A new holder first learns the whole fleet and lets the previous holder's calls arrive. */
constexpr Millis takeoverDelay = Millis(1500);

} // namespace

ScaleDuty::ScaleDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority)
    : context_(context), authority_(std::move(authority))
{ }

void ScaleDuty::tick(bool isIdle)
{
    const Millis now = context_.now();
    if (!authority_() || context_.index == nullptr || context_.directory.isEmpty()) {
        authorityGainedAt_ = Millis::never();
        return;
    }
    if (authorityGainedAt_ == Millis::never()) {
        authorityGainedAt_ = now;
        states_.clear();
    }
    if (now - authorityGainedAt_ < takeoverDelay)
        return;
    for (const Service &service : context_.index->configuration().services) {
        if (service.scale)
            planService(service, isIdle);
    }
}

std::optional<std::uint32_t> ScaleDuty::usablePerDomain(std::size_t failureDomains) const
{
    if (!instances_)
        return std::nullopt;
    const double all =
        context_.settings.decisions.fleet.mostPerInstance * static_cast<double>(*instances_);
    return static_cast<std::uint32_t>(std::ceil(all / static_cast<double>(failureDomains)));
}

void ScaleDuty::planService(const Service &service, bool isIdle)
{
    const Millis now = context_.now();
    std::map<std::string, DomainFleet> fleets;
    for (const auto &[id, record] : context_.directory.all()) {
        if (record->entry.service != service.name)
            continue;
        DomainFleet &fleet = fleets[record->entry.failureDomain];
        if (!record->isLeaving)
            ++(record->entry.isReclaimable ? fleet.reclaimable : fleet.regular);
    }
    for (const auto &[domain, fleet] : fleets) {
        const FleetKey key{service.name, domain};
        FleetState &state =
            states_.try_emplace(key, FleetPlan(context_.settings.decisions.fleet)).first->second;
        const auto firstDenied = state.reclaimable.firstDeniedAt;
        const auto lastDenied = state.reclaimable.lastDeniedAt;
        const DomainSupply supply{isIdle, firstDenied ? now - *firstDenied : Millis(0),
                                  lastDenied ? std::optional<Millis>(now - *lastDenied)
                                             : std::nullopt,
                                  usablePerDomain(fleets.size())};
        const DomainTarget target = state.plan.decide(*service.scale, fleet, supply);
        ScaleTarget regular{service.name, domain, target.regular, false};
        ScaleTarget reclaimable{service.name, domain, target.reclaimable, true};
        // Fewer regular upstreams make room for reclaimable ones within the bounds, so these orders
        // are sent first.
        orderIfDue(key, state.regular, regular, fleet.regular, service.scale->boot);
        orderIfDue(key, state.reclaimable, reclaimable, fleet.reclaimable, service.scale->boot);
    }
}

void ScaleDuty::orderIfDue(const FleetKey &key, OrderState &order, const ScaleTarget &target,
                           std::uint32_t present, Millis boot)
{
    const Millis now = context_.now();
    const bool isChange = order.orderedCount && *order.orderedCount != target.wanted;
    const bool isNotFollowed = present != target.wanted && now >= order.nextOrderAt;
    if (order.isPending || !(isChange || isNotFollowed))
        return;
    const auto authority = authority_();
    if (!authority)
        return;
    order.isPending = true;
    order.orderedCount = target.wanted;
    order.nextOrderAt = now + boot + listingDelay;
    context_.events(Event{&events::fleetTargetDeclared,
                          {{"service", target.service},
                           {"failure_domain", target.failureDomain},
                           {"wanted", std::to_string(target.wanted)},
                           {"present", std::to_string(present)},
                           {"reclaimable", target.isReclaimable ? "true" : "false"}}});
    context_.wire.orderUpstreams(
        target, *authority,
        [this, key, isReclaimable = target.isReclaimable](DutyResult result, const Reason &reason) {
            const auto found = states_.find(key);
            if (found == states_.end())
                return;
            OrderState &answered =
                isReclaimable ? found->second.reclaimable : found->second.regular;
            answered.isPending = false;
            if (result == DutyResult::Accepted) {
                answered.firstDeniedAt.reset();
                return;
            }
            if (result == DutyResult::Refused) {
                answered.lastDeniedAt = context_.now();
                if (!answered.firstDeniedAt)
                    answered.firstDeniedAt = answered.lastDeniedAt;
            }
            answered.orderedCount.reset();
            answered.nextOrderAt = context_.now() + orderRetryDelay;
            context_.events(Event{&events::fleetTargetInDoubt,
                                  {{"service", key.service},
                                   {"failure_domain", key.failureDomain},
                                   {"result", std::string(dutyResultNames.name(result))},
                                   {"reason", reason.toString()}}});
        });
}

} // namespace cuminrail

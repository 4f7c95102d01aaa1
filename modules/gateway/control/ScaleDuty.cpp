#include "gateway/control/ScaleDuty.h"

#include "core/events/EventCatalogue.h"

namespace cuminrail {

namespace {

/** Besides the boot: until the new upstream's entry has come through the store. */
constexpr Millis listDelay = Millis(3000);
/** None are to be had at the moment, or the call failed: asked again after this. */
constexpr Millis retryAfter = Millis(1500);
/** A new holder first sees the whole fleet and lets the former one's calls arrive. */
constexpr Millis takeOverPause = Millis(1500);

} // namespace

ScaleDuty::ScaleDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority)
    : context_(context), authority_(std::move(authority))
{ }

void ScaleDuty::tick(bool isIdle)
{
    const Millis now = context_.now();
    if (!authority_() || context_.index == nullptr || context_.directory.isEmpty()) {
        heldSince_ = Millis::never();
        return;
    }
    if (heldSince_ == Millis::never()) {
        heldSince_ = now;
        states_.clear();
    }
    if (now - heldSince_ < takeOverPause)
        return;
    for (const Service &service : context_.index->configuration().services) {
        if (service.scale)
            planService(service, isIdle);
    }
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
        const Subject subject{service.name, domain};
        State &state = states_.try_emplace(subject, FleetPlan(context_.settings.decisions.fleet))
                           .first->second;
        const auto denied = state.reclaimable.deniedSince;
        const auto last = state.reclaimable.deniedLast;
        const DomainSupply supply{isIdle, denied ? now - *denied : Millis(0),
                                  last ? std::optional<Millis>(now - *last) : std::nullopt};
        const DomainTarget target = state.plan.decide(*service.scale, fleet, supply);
        ScaleTarget regular{service.name, domain, target.regular, false};
        ScaleTarget reclaimable{service.name, domain, target.reclaimable, true};
        // Fewer regular ones make room for the others within the bounds; so they come first.
        orderIfDue(subject, state.regular, regular, fleet.regular, service.scale->boot);
        orderIfDue(subject, state.reclaimable, reclaimable, fleet.reclaimable, service.scale->boot);
    }
}

void ScaleDuty::orderIfDue(const Subject &subject, Line &line, const ScaleTarget &target,
                           std::uint32_t present, Millis boot)
{
    const Millis now = context_.now();
    const bool isChange = line.ordered && *line.ordered != target.wanted;
    const bool isUnfollowed = present != target.wanted && now >= line.nextAt;
    if (line.isBusy || !(isChange || isUnfollowed))
        return;
    const auto authority = authority_();
    if (!authority)
        return;
    line.isBusy = true;
    line.ordered = target.wanted;
    line.nextAt = now + boot + listDelay;
    context_.events(Event{&events::fleetTargetDeclared,
                          {{"service", target.service},
                           {"failure_domain", target.failureDomain},
                           {"wanted", std::to_string(target.wanted)},
                           {"present", std::to_string(present)},
                           {"reclaimable", target.isReclaimable ? "true" : "false"}}});
    context_.wire.orderUpstreams(
        target, *authority,
        [this, subject, isReclaimable = target.isReclaimable](DutyResult result,
                                                              const Reason &reason) {
            const auto found = states_.find(subject);
            if (found == states_.end())
                return;
            Line &ordered = isReclaimable ? found->second.reclaimable : found->second.regular;
            ordered.isBusy = false;
            if (result == DutyResult::Accepted) {
                ordered.deniedSince.reset();
                return;
            }
            if (result == DutyResult::Refused) {
                ordered.deniedLast = context_.now();
                if (!ordered.deniedSince)
                    ordered.deniedSince = ordered.deniedLast;
            }
            ordered.ordered.reset();
            ordered.nextAt = context_.now() + retryAfter;
            context_.events(Event{&events::fleetTargetInDoubt,
                                  {{"service", subject.service},
                                   {"failure_domain", subject.failureDomain},
                                   {"result", std::string(dutyResultNames.name(result))},
                                   {"reason", reason.toString()}}});
        });
}

} // namespace cuminrail

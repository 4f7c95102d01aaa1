#include "ports/testing/FakeFleet.h"

#include "core/guards/Guards.h"

namespace cuminrail {

namespace {
constexpr Millis startTime = Millis::seconds(30);
} // namespace

FleetStatus &FakeFleet::status(const FailureDomainId &domain, CostClass costClass)
{
    FleetStatus &status = zones_[{domain, costClass}];
    status.target.domain = domain;
    status.target.costClass = costClass;
    return status;
}

bool FakeFleet::accept(const std::string &from, const FleetTarget &target)
{
    FleetStatus &zone = status(target.domain, target.costClass);
    const bool accepted =
        !guardEnabled(Guard::FleetFenceChecked) || target.fence >= zone.target.fence;
    received_.push_back(ReceivedTarget{network_.scheduler().now(), from, target, accepted});
    if (!accepted)
        return false;
    if (target.clientToken == zone.target.clientToken)
        return true;
    zone.target = target;
    network_.scheduler().after(startTime, [this, target] {
        FleetStatus &later = status(target.domain, target.costClass);
        if (later.target.clientToken == target.clientToken)
            later.running = target.count;
    });
    return true;
}

FleetOrdering FakeFleet::port(const FakeProcessPtr &process)
{
    FleetOrdering fleet;
    fleet.setTarget = [this, process](const FleetTarget &target,
                                      const std::function<void(const OrderReply &)> &done) {
        FakeCall call;
        call.endpoint = endpoint;
        call.operation = "set-target";
        call.subject = target.domain.text();
        call.effect = [this, process, target, done](const FakeCall::Answer &answer) {
            OrderReply reply;
            reply.status =
                accept(process->name(), target) ? OrderStatus::Accepted : OrderStatus::Refused;
            answer([done, reply] { done(reply); });
        };
        call.refused = [done] { done(OrderReply{OrderStatus::NotSent, {}}); };
        call.unanswered = [done] { done(OrderReply{OrderStatus::Unknown, {}}); };
        call.mayLeave = [this, target] {
            return !guardEnabled(Guard::AuthorityCheckedAtWrite)
                || network_.scheduler().now() < target.notAfter;
        };
        network_.call(process, std::move(call));
    };
    fleet.readTarget =
        [this, process](const FailureDomainId &domain, CostClass costClass,
                        const std::function<void(const std::optional<FleetStatus> &)> &done) {
            FakeCall call;
            call.endpoint = endpoint;
            call.operation = "read-target";
            call.subject = domain.text();
            call.effect = [this, domain, costClass, done](const FakeCall::Answer &answer) {
                answer([zone = status(domain, costClass), done] { done(zone); });
            };
            call.refused = [done] { done(std::nullopt); };
            call.unanswered = call.refused;
            network_.call(process, std::move(call));
        };
    fleet.listInstances =
        [this, process](
            const std::function<void(const std::optional<std::vector<ListedInstance>> &)> &done) {
            FakeCall call;
            call.endpoint = endpoint;
            call.operation = "list";
            call.effect = [this, done](const FakeCall::Answer &answer) {
                answer([list = listed, done] { done(list); });
            };
            call.refused = [done] { done(std::nullopt); };
            call.unanswered = call.refused;
            network_.call(process, std::move(call));
        };
    return fleet;
}

} // namespace cuminrail

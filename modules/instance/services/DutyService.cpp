#include "instance/services/DutyService.h"

#include "instance/services/UsageService.h"
#include "runtime/time/BootClock.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickInterval{100};
/** Size passed with a ticket request; the platform uses the size that it has for the model. */
constexpr std::uint64_t unknownModelSize = 0;

RandomHook newRandomHook()
{
    return seededRandom(std::random_device()());
}

} // namespace

DutyService::DutyService(ControlPlane &control, MemberService &members,
                         const InstanceIncarnation &self, Ports ports,
                         const UsageTiming &usageTiming)
    : control_(control), members_(members), self_(self), ports_(std::move(ports)),
      usageTiming_(usageTiming), leases_(self, LeaseTiming(), leaseHooks())
{
    control_.addTick(tickInterval, [this](Millis) { tick(); });
    control_.addStopHook([this](std::function<void()> done) { stop(std::move(done)); });
    control_.addState("duties", [this] { return describe(); });
}

LeaseManager::Hooks DutyService::leaseHooks()
{
    LeaseManager::Hooks hooks{
        ports_.store, bootClock(), newRandomHook(), control_.context().events, {}, {}, {}, {}};
    hooks.duties = [this] { return duties_; };
    hooks.liveMembers = [this] { return members_.usableIds(); };
    hooks.onLeaseAcquired = [this](const std::string &duty, const Authority &) {
        onLeaseAcquired(duty);
    };
    hooks.onLeaseLost = [this](const std::string &duty) { onLeaseLost(duty); };
    return hooks;
}

void DutyService::configure(const Settings &settings)
{
    duties_.clear();
    dutyOfEngine_.clear();
    std::map<std::string, std::vector<OrderedEngine>> enginesByDuty;
    for (const FailureDomainSettings &domain : settings.fleet.domains) {
        const std::string duty = ordersDuty(domain.id);
        duties_.push_back(duty);
        enginesByDuty[duty];
        if (orderManagers_.count(duty) == 0)
            orderManagers_[duty] = makeOrderManager(domain.id);
    }
    for (const EngineSettings &engine : settings.fleet.engines) {
        const std::string duty = ordersDuty(engine.domain);
        enginesByDuty[duty].push_back({engine.id, engine.checksFence});
        dutyOfEngine_[engine.id] = duty;
    }
    for (const auto &[duty, engines] : enginesByDuty)
        orderManagers_[duty]->setEngines(engines);
    for (const TeamSettings &team : settings.teams) {
        const std::string duty = usageDuty(team.id);
        duties_.push_back(duty);
        if (reporters_.count(duty) == 0)
            reporters_[duty] = makeReporter(team.id);
    }
}

std::unique_ptr<OrderManager> DutyService::makeOrderManager(const FailureDomainId &domain)
{
    OrderManager::Hooks hooks{{ports_.store, ports_.engines, bootClock(), newRandomHook(),
                               control_.context().events,
                               [this, domain] { return authorityOf(domain); },
                               [](const OrderRecord &) {}, self_.instance.text()},
                              {}};
    hooks.weightTicket = [this](const OrderRequest &orderRequest, auto done) {
        ports_.weights.requestTicket(orderRequest.target, unknownModelSize,
                                     [done](const TicketReply &reply) {
                                         if (reply.status == TicketStatus::Granted)
                                             done(std::nullopt);
                                         else
                                             done(reply.retryAfter + Millis::seconds(1));
                                     });
    };
    return std::make_unique<OrderManager>(OrderTiming(), std::move(hooks));
}

std::unique_ptr<UsageReporter> DutyService::makeReporter(const TeamId &team)
{
    const std::string duty = usageDuty(team);
    UsageReporter::Hooks hooks{
        ports_.store,
        ports_.receiver,
        bootClock(),
        newRandomHook(),
        control_.context().events,
        [this, duty] { return leases_.authority(duty, bootTime()); },
        [] { return calendarNow(); },
        [this](const std::string &incarnationText) { return isLiveIncarnation(incarnationText); },
    };
    return std::make_unique<UsageReporter>(team, usageTiming_, std::move(hooks));
}

bool DutyService::isLiveIncarnation(const std::string &incarnationText) const
{
    const std::size_t dash = incarnationText.rfind('-');
    if (dash == std::string::npos)
        return false;
    const InstanceId instance(incarnationText.substr(0, dash));
    const Incarnation incarnation = std::strtoull(incarnationText.c_str() + dash + 1, nullptr, 10);
    if (instance == self_.instance)
        return incarnation == self_.incarnation;
    const auto member = members_.membership().member(instance);
    return member && !members_.isGone(instance, incarnation);
}

void DutyService::onLeaseAcquired(const std::string &duty)
{
    const auto manager = orderManagers_.find(duty);
    if (manager != orderManagers_.end())
        manager->second->onLeaseAcquired();
    const auto reporter = reporters_.find(duty);
    if (reporter != reporters_.end())
        reporter->second->onLeaseAcquired();
}

void DutyService::onLeaseLost(const std::string &duty)
{
    const auto manager = orderManagers_.find(duty);
    if (manager != orderManagers_.end())
        manager->second->onLeaseLost();
    const auto reporter = reporters_.find(duty);
    if (reporter != reporters_.end())
        reporter->second->onLeaseLost();
}

void DutyService::tick()
{
    leases_.tick();
    for (const auto &entry : orderManagers_)
        entry.second->tick();
    for (const auto &entry : reporters_)
        entry.second->tick();
}

void DutyService::stop(std::function<void()> done)
{
    leases_.stop();
    control_.pollUntil([this] { return leases_.isStopped(); }, std::move(done));
}

bool DutyService::order(const OrderRequest &orderRequest, Reason *lastReason)
{
    const auto duty = dutyOfEngine_.find(orderRequest.engine);
    if (duty == dutyOfEngine_.end())
        return fail(lastReason, orderRequest.engine.text(),
                    "is not an engine of the settings in force");
    if (!leases_.authority(duty->second, bootTime()))
        return fail(lastReason, duty->second, "is not held by this instance");
    return orderManagers_[duty->second]->request(orderRequest, lastReason);
}

OrderManager *DutyService::ordersOf(const FailureDomainId &domain)
{
    const auto manager = orderManagers_.find(ordersDuty(domain));
    return manager == orderManagers_.end() ? nullptr : manager->second.get();
}

std::optional<Authority> DutyService::authorityOf(const FailureDomainId &domain) const
{
    return leases_.authority(ordersDuty(domain), bootTime());
}

nlohmann::json DutyService::describe() const
{
    const Millis now = bootTime();
    nlohmann::json duties = nlohmann::json::array();
    for (const LeaseManager::View &view : leases_.view(now)) {
        nlohmann::json duty = {{"duty", view.duty}, {"held_here", view.authority.has_value()}};
        if (view.lastSeen) {
            duty["holder"] = view.lastSeen->holder.text();
            duty["fence"] = view.lastSeen->fence;
        }
        const auto reporter = reporters_.find(view.duty);
        if (view.authority && reporter != reporters_.end())
            duty["windows_to_report"] = reporter->second->unreportedCount();
        duties.push_back(std::move(duty));
    }
    nlohmann::json orders = nlohmann::json::array();
    for (const auto &entry : orderManagers_) {
        for (const OrderManager::View &view : entry.second->view()) {
            if (!view.outstanding)
                continue;
            orders.push_back({{"engine", view.engine.text()},
                              {"order", view.outstanding->order.orderId},
                              {"kind", engineOrderKindNames.name(view.outstanding->order.kind)},
                              {"target", view.outstanding->order.target}});
        }
    }
    return {{"leases", duties}, {"outstanding_orders", orders}};
}

} // namespace cuminrail

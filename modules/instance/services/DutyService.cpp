#include "instance/services/DutyService.h"

#include "instance/services/UsageService.h"
#include "runtime/time/BootClock.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickPeriod{100};
/** What the weight store is told of a load; the platform's own figure for the model counts. */
constexpr std::uint64_t unknownSize = 0;

RandomHook freshRandom()
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
    control_.addTick(tickPeriod, [this](Millis) { tick(); });
    control_.addStopHook([this](std::function<void()> done) { stop(std::move(done)); });
    control_.addState("duties", [this] { return describe(); });
}

LeaseManager::Hooks DutyService::leaseHooks()
{
    LeaseManager::Hooks hooks{
        ports_.store, bootClock(), freshRandom(), control_.context().events, {}, {}, {}, {}};
    hooks.duties = [this] { return duties_; };
    hooks.liveMembers = [this] { return members_.usableIds(); };
    hooks.onLeaseAcquired = [this](const std::string &duty, const Authority &) { taken(duty); };
    hooks.onLeaseLost = [this](const std::string &duty) { lost(duty); };
    return hooks;
}

void DutyService::configure(const Settings &settings)
{
    duties_.clear();
    dutyOfEngine_.clear();
    std::map<std::string, std::vector<OrderedEngine>> engines;
    for (const FailureDomainSettings &domain : settings.fleet.domains) {
        const std::string duty = ordersDuty(domain.id);
        duties_.push_back(duty);
        engines[duty];
        if (orders_.count(duty) == 0)
            orders_[duty] = makeOrders(domain.id);
    }
    for (const EngineSettings &engine : settings.fleet.engines) {
        const std::string duty = ordersDuty(engine.domain);
        engines[duty].push_back({engine.id, engine.checksFence});
        dutyOfEngine_[engine.id] = duty;
    }
    for (const auto &[duty, list] : engines)
        orders_[duty]->setEngines(list);
    for (const TeamSettings &team : settings.teams) {
        const std::string duty = usageDuty(team.id);
        duties_.push_back(duty);
        if (reporters_.count(duty) == 0)
            reporters_[duty] = makeReporter(team.id);
    }
}

std::unique_ptr<OrderManager> DutyService::makeOrders(const FailureDomainId &domain)
{
    OrderManager::Hooks hooks{{ports_.store, ports_.engines, bootClock(), freshRandom(),
                               control_.context().events,
                               [this, domain] { return authorityOf(domain); },
                               [](const OrderRecord &) {}, self_.instance.text()},
                              {}};
    hooks.weightTicket = [this](const OrderRequest &wanted, auto done) {
        ports_.weights.requestTicket(wanted.target, unknownSize, [done](const TicketReply &reply) {
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
        freshRandom(),
        control_.context().events,
        [this, duty] { return leases_.authority(duty, bootTime()); },
        [] { return calendarNow(); },
        [this](const std::string &life) { return isLiveCounter(life); },
    };
    return std::make_unique<UsageReporter>(team, usageTiming_, std::move(hooks));
}

bool DutyService::isLiveCounter(const std::string &life) const
{
    const std::size_t dash = life.rfind('-');
    if (dash == std::string::npos)
        return false;
    const InstanceId instance(life.substr(0, dash));
    const Incarnation incarnation = std::strtoull(life.c_str() + dash + 1, nullptr, 10);
    if (instance == self_.instance)
        return incarnation == self_.incarnation;
    const auto member = members_.membership().member(instance);
    return member && !members_.isGone(instance, incarnation);
}

void DutyService::taken(const std::string &duty)
{
    const auto orders = orders_.find(duty);
    if (orders != orders_.end())
        orders->second->onLeaseAcquired();
    const auto reporter = reporters_.find(duty);
    if (reporter != reporters_.end())
        reporter->second->onLeaseAcquired();
}

void DutyService::lost(const std::string &duty)
{
    const auto orders = orders_.find(duty);
    if (orders != orders_.end())
        orders->second->onLeaseLost();
    const auto reporter = reporters_.find(duty);
    if (reporter != reporters_.end())
        reporter->second->onLeaseLost();
}

void DutyService::tick()
{
    leases_.tick();
    for (const auto &entry : orders_)
        entry.second->tick();
    for (const auto &entry : reporters_)
        entry.second->tick();
}

void DutyService::stop(std::function<void()> done)
{
    leases_.stop();
    control_.pollUntil([this] { return leases_.isStopped(); }, std::move(done));
}

bool DutyService::order(const OrderRequest &wanted, Reason *lastReason)
{
    const auto duty = dutyOfEngine_.find(wanted.engine);
    if (duty == dutyOfEngine_.end())
        return fail(lastReason, wanted.engine.text(), "is no engine of the settings in force");
    if (!leases_.authority(duty->second, bootTime()))
        return fail(lastReason, duty->second, "is not held here");
    return orders_[duty->second]->request(wanted, lastReason);
}

OrderManager *DutyService::ordersOf(const FailureDomainId &domain)
{
    const auto orders = orders_.find(ordersDuty(domain));
    return orders == orders_.end() ? nullptr : orders->second.get();
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
    for (const auto &entry : orders_) {
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

#include "scenario/world/ScenarioInstance.h"

#include "scenario/world/ScenarioWorld.h"

namespace cuminrail {

ScenarioInstance::ScenarioInstance(ScenarioWorld &world, const std::string &name,
                                   Incarnation incarnation, const FailureDomainId &domain,
                                   Millis clockOffset)
    : world_(world), identity_{InstanceId(name), incarnation}, domain_(domain),
      clockOffset_(clockOffset), process_(std::make_shared<FakeProcess>(name))
{
    buildOrders();
    buildFleet();
    buildUsage();
    buildCalls();
    buildLeases();
}

Clock ScenarioInstance::clock() const
{
    return Clock([this] { return world_.scheduler.now() + clockOffset_; });
}

std::string ScenarioInstance::lifeName() const
{
    return name() + "-" + std::to_string(identity_.incarnation);
}

std::function<std::optional<Authority>()>
ScenarioInstance::authorityFor(const std::string &duty) const
{
    return [this, duty] { return leases_->authority(duty, clock().now()); };
}

void ScenarioInstance::buildLeases()
{
    LeaseManager::Hooks hooks{world_.store.port(process_),
                              clock(),
                              world_.scheduler.random(),
                              ignoreEvents(),
                              {},
                              {},
                              {},
                              {}};
    hooks.duties = [this] { return world_.duties(); };
    hooks.liveMembers = [this] { return world_.liveMembers(); };
    hooks.onLeaseAcquired = [this](const std::string &duty, const Authority &) {
        updateLease(duty, true);
    };
    hooks.onLeaseLost = [this](const std::string &duty) { updateLease(duty, false); };
    leases_ = std::make_unique<LeaseManager>(identity_, LeaseTiming{}, std::move(hooks));
}

void ScenarioInstance::buildOrders()
{
    for (const auto &[domain, engines] : world_.enginesByDomain()) {
        EngineOrderController::Hooks controllerHooks{world_.store.port(process_),
                                                     world_.enginePort(*this),
                                                     clock(),
                                                     world_.scheduler.random(),
                                                     ignoreEvents(),
                                                     {},
                                                     {},
                                                     name()};
        controllerHooks.authority = authorityFor(ScenarioWorld::domainDuty(domain));
        auto manager = std::make_unique<OrderManager>(
            OrderTiming{}, OrderManager::Hooks{std::move(controllerHooks), {}});
        manager->setEngines(engines);
        orders_[domain] = std::move(manager);
    }
}

void ScenarioInstance::buildFleet()
{
    for (const Zone &zone : world_.zones()) {
        FleetManager::Hooks hooks{world_.store.port(process_), world_.fleetPort(*this), clock(),
                                  world_.scheduler.random(),   ignoreEvents(),          {}};
        hooks.authority = authorityFor(ScenarioWorld::domainDuty(zone.domain));
        zones_[zone] = std::make_unique<FleetManager>(zone, std::move(hooks));
    }
}

void ScenarioInstance::buildUsage()
{
    for (const TeamId &team : world_.teams()) {
        UsageFlusher::Hooks flushHooks{
            world_.store.port(process_), clock(), world_.scheduler.random(), {}, {}};
        flushHooks.currentWindow = [this] { return world_.currentWindow(); };
        flushHooks.flushInterval = [] { return minFlushInterval / 2; };
        flushers_[team] = std::make_unique<UsageFlusher>(team, identity_, std::move(flushHooks));
        UsageTiming timing;
        timing.windowLength = world_.windowLength;
        timing.grace = minFlushInterval / 2;
        UsageReporter::Hooks hooks{world_.store.port(process_),
                                   world_.usagePort(*this),
                                   clock(),
                                   world_.scheduler.random(),
                                   ignoreEvents(),
                                   {},
                                   {},
                                   {}};
        hooks.authority = authorityFor(ScenarioWorld::teamDuty(team));
        hooks.calendar = [this] { return world_.scheduler.now(); };
        hooks.isLive = [this](const std::string &incarnationName) {
            return world_.isLive(incarnationName);
        };
        reporters_[team] = std::make_unique<UsageReporter>(team, timing, std::move(hooks));
    }
}

void ScenarioInstance::buildCalls()
{
    ScenarioCalls::Hooks hooks{
        world_.store.port(process_), world_.scheduler.random(), clock(), {}, {}, {}};
    hooks.isGone = [this](const InstanceId &instance, Incarnation ended) {
        return world_.isKnownGone(instance.text() + "-" + std::to_string(ended));
    };
    hooks.send = [this](const ServiceRun &run,
                        const std::function<void(const ServiceReply &)> &done) {
        world_.service.send(process_, run, done);
    };
    hooks.answer = [this](const CallerAnswer &answer) { world_.answerCaller(answer); };
    calls_ = std::make_unique<ScenarioCalls>(identity_, std::move(hooks));
}

void ScenarioInstance::updateLease(const std::string &duty, bool isHeld)
{
    for (auto &[domain, manager] : orders_) {
        if (duty == ScenarioWorld::domainDuty(domain))
            isHeld ? manager->onLeaseAcquired() : manager->onLeaseLost();
    }
    for (auto &[zone, manager] : zones_) {
        if (duty == ScenarioWorld::domainDuty(zone.domain))
            isHeld ? manager->onLeaseAcquired() : manager->onLeaseLost();
    }
    for (auto &[team, reporter] : reporters_) {
        if (duty == ScenarioWorld::teamDuty(team))
            isHeld ? reporter->onLeaseAcquired() : reporter->onLeaseLost();
    }
}

void ScenarioInstance::tick()
{
    if (!process_->isRunning(world_.scheduler.now()))
        return;
    leases_->tick();
    calls_->tick();
    for (auto &[domain, manager] : orders_)
        manager->tick();
    for (auto &[zone, manager] : zones_)
        manager->tick();
    for (auto &[team, flusher] : flushers_)
        flusher->tick();
    for (auto &[team, reporter] : reporters_)
        reporter->tick();
    requestWantedOrders();
    requestWantedTargets();
    if (!stopping_ || !leases_->isStopped() || !calls_->isQuiet())
        return;
    for (auto &[team, flusher] : flushers_) {
        if (!flusher->isFlushed())
            return;
    }
    process_->kill();
}

void ScenarioInstance::requestWantedOrders()
{
    for (const auto &[engine, wanted] : world_.wishes()) {
        for (auto &[domain, manager] : orders_) {
            if (!manager->isIdle(engine))
                continue;
            const auto last = manager->lastSettled(engine);
            const bool isSatisfied = last && last->phase == OrderPhase::Done
                && last->order.target == wanted.target && last->order.kind == wanted.kind;
            if (!isSatisfied)
                manager->request(wanted, nullptr);
        }
    }
}

void ScenarioInstance::requestWantedTargets()
{
    for (const auto &[zone, count] : world_.wantedTargets()) {
        FleetManager &manager = *zones_.at(zone);
        const auto last = manager.lastRecord();
        if (manager.isIdle() && (!last || last->count != count))
            manager.request(count, nullptr);
    }
}

void ScenarioInstance::stop()
{
    stopping_ = true;
    leases_->stop();
    for (auto &[team, flusher] : flushers_)
        flusher->stop();
}

} // namespace cuminrail

#include "scenario/world/ScenarioWorld.h"

#include <algorithm>

namespace cuminrail {

namespace {
constexpr Millis tickInterval{100};
/** Time until the other instances stop listing an unresponsive instance as live. */
constexpr Millis membershipLag = Millis::seconds(3);
/** Clocks of the instances differ by this offset; they only run at the same rate. */
constexpr Millis clockOffsetStep = Millis::minutes(17);
} // namespace

void ScenarioWorld::addInstance(const std::string &name, const FailureDomainId &domain)
{
    domains_[name] = domain;
}

void ScenarioWorld::addEngine(const UpstreamId &id, const FailureDomainId &domain, bool checksFence,
                              Millis orderDuration)
{
    engines.add(id, checksFence).orderDuration = orderDuration;
    enginesByDomain_[domain].push_back(OrderedEngine{id, checksFence});
}

void ScenarioWorld::start()
{
    network.setHook([this](const FakeMessage &message) { return fateOf(message); });
    for (const auto &[name, domain] : domains_)
        startInstance(name);
    scheduler.every(tickInterval, [this] {
        for (std::size_t i = 0; i < instances_.size(); ++i)
            instances_[i]->tick();
    });
}

void ScenarioWorld::startInstance(const std::string &name)
{
    const Incarnation incarnation = ++incarnations_[name];
    const Millis offset = clockOffsetStep * static_cast<std::int64_t>(instances_.size() + 1);
    instances_.push_back(
        std::make_unique<ScenarioInstance>(*this, name, incarnation, domains_.at(name), offset));
    unresponsiveSince_.erase(name);
}

std::vector<std::string> ScenarioWorld::duties() const
{
    std::set<std::string> duties;
    for (const auto &[domain, engineList] : enginesByDomain_)
        duties.insert(domainDuty(domain));
    for (const Zone &zone : zones_)
        duties.insert(domainDuty(zone.domain));
    for (const TeamId &team : teams_)
        duties.insert(teamDuty(team));
    return {duties.begin(), duties.end()};
}

std::vector<InstanceId> ScenarioWorld::liveMembers() const
{
    std::vector<InstanceId> live;
    for (const auto &[name, domain] : domains_) {
        const auto unresponsive = unresponsiveSince_.find(name);
        if (unresponsive == unresponsiveSince_.end()
            || scheduler.now() < unresponsive->second + membershipLag)
            live.emplace_back(name);
    }
    return live;
}

bool ScenarioWorld::isLive(const std::string &incarnationName) const
{
    return std::any_of(instances_.begin(), instances_.end(), [&](const auto &candidate) {
        return candidate->lifeName() == incarnationName && candidate->process().isAlive();
    });
}

WindowIndex ScenarioWorld::currentWindow() const
{
    return UsageWindows(windowLength).indexAt(scheduler.now());
}

EngineControl ScenarioWorld::enginePort(const ScenarioInstance &instance)
{
    EngineControl port = engines.port(instance.processPtr());
    // The fakes use virtual time only; converts the time from the instance's clock.
    port.send = [send = port.send, &instance](EngineOrder order,
                                              const std::function<void(const OrderReply &)> &done) {
        order.notAfter = order.notAfter - instance.clockOffset();
        send(order, done);
    };
    return port;
}

FleetOrdering ScenarioWorld::fleetPort(const ScenarioInstance &instance)
{
    FleetOrdering port = fleet.port(instance.processPtr());
    port.setTarget = [setTarget = port.setTarget, &instance](
                         FleetTarget target, const std::function<void(const OrderReply &)> &done) {
        target.notAfter = target.notAfter - instance.clockOffset();
        setTarget(target, done);
    };
    return port;
}

UsageReceiver ScenarioWorld::usagePort(const ScenarioInstance &instance)
{
    UsageReceiver port = usage.port(instance.processPtr());
    port.report = [report = port.report, &instance](
                      UsageReport sealed, const std::function<void(const OrderReply &)> &done) {
        sealed.notAfter = sealed.notAfter - instance.clockOffset();
        report(sealed, done);
    };
    return port;
}

ScenarioInstance *ScenarioWorld::instance(const std::string &name)
{
    const auto found =
        std::find_if(instances_.rbegin(), instances_.rend(),
                     [&](const auto &candidate) { return candidate->name() == name; });
    return found == instances_.rend() ? nullptr : found->get();
}

void ScenarioWorld::count(const CountedUse &use)
{
    ScenarioInstance *target = instance(use.instance);
    if (target == nullptr || !target->process().isRunning(scheduler.now()) || target->isStopping())
        return;
    target->usage(use.team).add(use.customer, use.figures);
    countedUse_.push_back(use);
}

bool ScenarioWorld::isKnownGone(const std::string &incarnationName) const
{
    const auto killed = killedAt_.find(incarnationName);
    return killed != killedAt_.end() && scheduler.now() >= killed->second + membershipLag;
}

void ScenarioWorld::call(const ScenarioCall &call)
{
    ScenarioInstance *target = instance(call.instance);
    if (target == nullptr || !target->process().isRunning(scheduler.now()) || target->isStopping())
        return;
    ScenarioCall accepted = call;
    accepted.life = target->lifeName();
    accepted.attempt = call.work + "#" + std::to_string(calls_.size());
    calls_.push_back(accepted);
    target->calls().begin(accepted);
}

void ScenarioWorld::kill(const std::string &name)
{
    ScenarioInstance *target = instance(name);
    if (target == nullptr || !target->process().isAlive())
        return;
    target->process().kill();
    killedAt_[target->lifeName()] = scheduler.now();
    unresponsiveSince_[name] = scheduler.now();
}

void ScenarioWorld::killAfterSending(const std::string &name)
{
    scheduler.after(Millis(0), [this, name] { kill(name); });
}

void ScenarioWorld::restart(const std::string &name)
{
    kill(name);
    startInstance(name);
}

void ScenarioWorld::pause(const std::string &name, Millis span)
{
    ScenarioInstance *paused = instance(name);
    if (paused == nullptr)
        return;
    paused->process().pauseUntil(scheduler.now() + span);
    unresponsiveSince_[name] = scheduler.now();
    scheduler.after(span, [this, name] {
        ScenarioInstance *resumed = instance(name);
        if (resumed != nullptr && resumed->process().isAlive())
            unresponsiveSince_.erase(name);
    });
}

void ScenarioWorld::cut(const std::string &name, const std::string &endpoint, Millis span)
{
    network.setCut(name, endpoint, true);
    scheduler.after(span, [this, name, endpoint] { network.setCut(name, endpoint, false); });
}

void ScenarioWorld::storeDown(Millis span)
{
    network.setDown(FakeObjectStore::endpoint, true);
    scheduler.after(span, [this] { network.setDown(FakeObjectStore::endpoint, false); });
}

void ScenarioWorld::storeSlow(Millis delay, Millis span)
{
    network.setSlow(FakeObjectStore::endpoint, delay);
    scheduler.after(span, [this] { network.setSlow(FakeObjectStore::endpoint, Millis(0)); });
}

void ScenarioWorld::loseNext(const std::string &operation, const std::string &subject,
                             MessageLeg leg, int times)
{
    lossRules_.push_back(LossRule{operation, subject, leg, times});
}

MessageFate ScenarioWorld::fateOf(const FakeMessage &message)
{
    MessageFate fate = matrixHook_ ? matrixHook_(message) : MessageFate{};
    for (LossRule &rule : lossRules_) {
        const bool matches = rule.times > 0 && rule.leg == message.leg
            && rule.operation == message.operation
            && message.subject.compare(0, rule.subject.size(), rule.subject) == 0;
        if (!matches)
            continue;
        --rule.times;
        fate.lost = true;
    }
    return fate;
}

std::vector<std::string> ScenarioWorld::holders(const std::string &duty)
{
    std::vector<std::string> names;
    for (const auto &candidate : instances_) {
        const Millis now = scheduler.now();
        if (candidate->process().isRunning(now)
            && candidate->leases().authority(duty, now + candidate->clockOffset()))
            names.push_back(candidate->name());
    }
    return names;
}

} // namespace cuminrail

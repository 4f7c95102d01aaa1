#include "scenario/world/ScenarioWorld.h"

#include <algorithm>

namespace cuminrail {

namespace {
constexpr Millis tickEvery{100};
/** How long the other instances go on counting a dead one among the living. */
constexpr Millis membershipLag = Millis::seconds(3);
/** Clocks of two instances show different times; they only run at the same rate. */
constexpr Millis clockStep = Millis::minutes(17);
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
    scheduler.every(tickEvery, [this] {
        for (std::size_t i = 0; i < instances_.size(); ++i)
            instances_[i]->tick();
    });
}

void ScenarioWorld::startInstance(const std::string &name)
{
    const Incarnation incarnation = ++incarnations_[name];
    const Millis offset = clockStep * static_cast<std::int64_t>(instances_.size() + 1);
    instances_.push_back(
        std::make_unique<ScenarioInstance>(*this, name, incarnation, domains_.at(name), offset));
    silentSince_.erase(name);
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
        const auto since = silentSince_.find(name);
        if (since == silentSince_.end() || scheduler.now() < since->second + membershipLag)
            live.emplace_back(name);
    }
    return live;
}

bool ScenarioWorld::isLive(const std::string &life) const
{
    return std::any_of(instances_.begin(), instances_.end(), [&](const auto &candidate) {
        return candidate->lifeName() == life && candidate->process().isAlive();
    });
}

WindowIndex ScenarioWorld::currentWindow() const
{
    return UsageWindows(windowLength).indexAt(scheduler.now());
}

EngineControl ScenarioWorld::enginePort(const ScenarioInstance &instance)
{
    EngineControl port = engines.port(instance.processPtr());
    // The fakes know virtual time alone; an instance's instants are put back on it.
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
    ScenarioInstance *at = instance(use.instance);
    if (at == nullptr || !at->process().isRunning(scheduler.now()) || at->isStopping())
        return;
    at->usage(use.team).add(use.customer, use.figures);
    counted_.push_back(use);
}

bool ScenarioWorld::isKnownGone(const std::string &life) const
{
    const auto stopped = stopped_.find(life);
    return stopped != stopped_.end() && scheduler.now() >= stopped->second + membershipLag;
}

void ScenarioWorld::call(const ScenarioCall &call)
{
    ScenarioInstance *at = instance(call.instance);
    if (at == nullptr || !at->process().isRunning(scheduler.now()) || at->isStopping())
        return;
    ScenarioCall taken = call;
    taken.life = at->lifeName();
    taken.attempt = call.work + "#" + std::to_string(calls_.size());
    calls_.push_back(taken);
    at->calls().begin(taken);
}

void ScenarioWorld::kill(const std::string &name)
{
    ScenarioInstance *victim = instance(name);
    if (victim == nullptr || !victim->process().isAlive())
        return;
    victim->process().kill();
    stopped_[victim->lifeName()] = scheduler.now();
    silentSince_[name] = scheduler.now();
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
    silentSince_[name] = scheduler.now();
    scheduler.after(span, [this, name] {
        ScenarioInstance *resumed = instance(name);
        if (resumed != nullptr && resumed->process().isAlive())
            silentSince_.erase(name);
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
    losses_.push_back(LossRule{operation, subject, leg, times});
}

MessageFate ScenarioWorld::fateOf(const FakeMessage &message)
{
    MessageFate fate = matrixHook_ ? matrixHook_(message) : MessageFate{};
    for (LossRule &rule : losses_) {
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

#include "policybench/simulation/Simulation.h"

#include <algorithm>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr double sameDomainDelay = 0.25;
constexpr double otherDomainDelay = 0.75;
constexpr double peerDelay = 1;
constexpr double tickEvery = 10;
constexpr double controlEvery = 250;
/** How long a broken connection takes to be noticed. */
constexpr double breakNoticed = 50;
/** How late the platform's list tells of an outage, and of its end. */
constexpr double listLag = 3000;
constexpr double returnLag = 1000;
/** How long after the last arrival requests may take to end. */
constexpr double afterwards = 200000;
constexpr std::uint32_t mostAttempts = 6;
/** Of so many batches of cache events one is lost. */
constexpr std::uint64_t lostEvents = 101;
constexpr double kvMsPerToken = 0.0131;

constexpr double rolesEvery = 1000;
/** How long an empty engine takes to change role. */
constexpr double roleChangeTime = 5000;
constexpr double emptyLookEvery = 50;

RolePolicy rolePolicyOf(PolicyKind kind)
{
    if (kind == PolicyKind::CuminrailRoles)
        return RolePolicy::Balancer;
    return kind == PolicyKind::CuminrailFollowMix ? RolePolicy::FollowMix : RolePolicy::Fixed;
}

} // namespace

Simulation::Simulation(const Workload &workload, PolicyKind policy, std::uint64_t seed)
    : workload_(workload), flights_(workload.requests.size()), records_(workload.requests.size()),
      byTicket_(workload.instances), roles_(rolePolicyOf(policy), workload),
      changing_(workload.settings.fleet.engines.size(), false)
{
    for (const EngineSettings &engine : workload.settings.fleet.engines) {
        indexes_.upstreams.indexOf(engine.id);
        const EngineRole role = engineRoleNames.value(engine.role).value_or(EngineRole::Mixed);
        engines_.emplace_back(role, workload.cacheTokens);
        facts_.engines[engine.id].incarnation = 1;
        facts_.engines[engine.id].role = role;
    }
    setUpInstances(policy, seed);
    publishTable();
    scheduleArrivals(0);
    scheduleRegular();
    scheduleOutages();
}

void Simulation::setUpInstances(PolicyKind policy, std::uint64_t seed)
{
    admissionSettings_ =
        buildAdmissionSettings(workload_.settings, indexes_.customers, indexes_.pools);
    for (const AdmissionCustomer &customer : admissionSettings_.customers) {
        sharedLimiters_.emplace_back();
        sharedLimiters_.back().configure(customer.limits, Millis::seconds(2), Millis());
    }
    for (std::size_t i = 0; i < workload_.instances; ++i) {
        PolicySetup setup;
        setup.kind = policy;
        setup.instance = i;
        setup.instances = workload_.instances;
        setup.settings = &admissionSettings_;
        setup.pool = indexes_.pools.find("model:model");
        setup.enginePrefillTokensPerSecond = 1000 / EngineModel::msPerPromptToken;
        setup.sharedLimiters = &sharedLimiters_;
        setup.send = [this](std::size_t to, const std::string &frame) {
            queue_.after(peerDelay, [this, to, frame] { instances_[to]->receive(frame, now()); });
        };
        setup.sendLoads = [this](std::size_t to, const std::string &frame) {
            queue_.after(peerDelay,
                         [this, to, frame] { instances_[to]->receiveLoads(frame, now()); });
        };
        setup.changed = [this, i](const AdmissionChanges &changes) { apply(i, changes); };
        setup.random = seededRandom(seed * 100 + i);
        instances_.push_back(makeInstancePolicy(std::move(setup)));
    }
}

void Simulation::publishTable()
{
    table_ = std::make_shared<const RoutingTable>(
        buildRoutingTable(workload_.settings, facts_, indexes_));
    for (auto &instance : instances_)
        instance->setTable(table_);
}

void Simulation::scheduleArrivals(std::size_t next)
{
    if (next >= workload_.requests.size())
        return;
    queue_.at(workload_.requests[next].arrival, [this, next] {
        scheduleArrivals(next + 1);
        submit(next);
    });
}

void Simulation::scheduleRegular()
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const double offset = tickEvery * static_cast<double>(i) / double(instances_.size());
        for (double time = 0; time < workload_.duration + afterwards; time += controlEvery)
            queue_.at(time + offset, [this, i] { instances_[i]->control(now()); });
        for (double time = tickEvery; time < workload_.duration + afterwards; time += tickEvery)
            queue_.at(time + offset, [this, i] { apply(i, instances_[i]->tick(now())); });
    }
    for (double time = 0; time < workload_.duration + afterwards; time += workload_.reportEvery)
        queue_.at(time, [this] { reportLoads(); });
    for (double time = rolesEvery; time < workload_.duration; time += rolesEvery)
        queue_.at(time, [this] { changeRoles(); });
}

void Simulation::changeRoles()
{
    std::vector<RoleEngine> engines;
    for (UpstreamIndex index = 0; index < engines_.size(); ++index) {
        const EngineSettings &settings = workload_.settings.fleet.engines[index];
        const LoadReport load = engines_[index].report();
        if (engines_[index].alive)
            engines.push_back({settings.id, settings.domain, settings.models[0],
                               facts_.engines[settings.id].role, changing_[index],
                               static_cast<double>(load.running + load.waiting)});
    }
    for (const RoleChange &change : roles_.decide(engines, now())) {
        const UpstreamIndex engine = indexes_.upstreams.find(change.engine);
        ++roleChanges_;
        changing_[engine] = true;
        facts_.engines[change.engine].role = EngineRole::None;
        publishTable();
        changeWhenEmpty(engine, change.to);
    }
}

/** A planned change cuts no request: the engine gets no new work, and changes when it is empty. */
void Simulation::changeWhenEmpty(UpstreamIndex engine, EngineRole to)
{
    if (engines_[engine].hasWork()) {
        queue_.after(emptyLookEvery, [this, engine, to] { changeWhenEmpty(engine, to); });
        return;
    }
    queue_.after(roleChangeTime, [this, engine, to] {
        engines_[engine].role = to;
        changing_[engine] = false;
        facts_.engines[workload_.settings.fleet.engines[engine].id].role = to;
        publishTable();
    });
}

void Simulation::reportLoads()
{
    for (UpstreamIndex engine = 0; engine < engines_.size(); ++engine) {
        if (!engines_[engine].alive)
            continue;
        const LoadReport report = engines_[engine].report();
        std::vector<CacheEvent> events = engines_[engine].takeCacheEvents();
        if (++reports_ % lostEvents == 0)
            events.clear();
        queue_.after(workload_.reportLag, [this, engine, report, events] {
            const Millis age(static_cast<std::int64_t>(workload_.reportLag));
            for (auto &instance : instances_) {
                instance->router().loads().applyReport(engine, report, age, now());
                instance->cacheEvents(engine, events, now());
            }
        });
    }
}

void Simulation::scheduleOutages()
{
    for (const Outage &outage : workload_.outages) {
        queue_.at(outage.from, [this, &outage] { crash(outage); });
        queue_.at(outage.to, [this, &outage] { comeBack(outage); });
    }
}

void Simulation::crash(const Outage &outage)
{
    for (std::size_t engine : outage.engines) {
        for (std::uint64_t job : engines_[engine].crash())
            queue_.after(breakNoticed, [this, job] { broke(job, true); });
    }
    queue_.after(listLag, [this, &outage] {
        for (std::size_t engine : outage.engines) {
            const UpstreamId &id = workload_.settings.fleet.engines[engine].id;
            facts_.leaving.mark({id, facts_.engines[id].incarnation});
        }
        publishTable();
    });
}

void Simulation::comeBack(const Outage &outage)
{
    for (std::size_t engine : outage.engines)
        engines_[engine].alive = true;
    queue_.after(returnLag, [this, &outage] {
        for (std::size_t engine : outage.engines)
            ++facts_.engines[workload_.settings.fleet.engines[engine].id].incarnation;
        publishTable();
    });
}

DomainIndex Simulation::domainOf(std::size_t instance) const
{
    return static_cast<DomainIndex>(instance % workload_.settings.fleet.domains.size());
}

double Simulation::delayTo(std::size_t instance, UpstreamIndex engine) const
{
    return table_->upstream(engine).domain == domainOf(instance) ? sameDomainDelay
                                                                 : otherDomainDelay;
}

void Simulation::submit(std::size_t index)
{
    const WorkloadRequest &asked = workload_.requests[index];
    roles_.arrived(asked);
    Flight &flight = flights_[index];
    AdmissionRequest request;
    request.customer = indexes_.customers.find(workload_.customers[asked.customer]);
    request.pool = indexes_.pools.find("model:model");
    request.priority = asked.priority;
    request.promptTokens = asked.promptTokens;
    request.maxOutputTokens = asked.maxOutputTokens;
    if (asked.deadline > 0)
        request.deadline = Millis(static_cast<std::int64_t>(asked.deadline));
    const AdmissionDecision decision = instances_[asked.instance]->submit(request, now());

    flight.ticket = decision.ticket;
    flight.request.pool = request.pool;
    flight.request.customer = request.customer;
    flight.request.domain = domainOf(asked.instance);
    flight.request.priority = asked.priority;
    flight.request.promptTokens = asked.promptTokens;
    flight.request.expectedOutputTokens = decision.expectedOutputTokens;
    flight.request.prefixes = &asked.prefixes;
    flight.request.repeatable = asked.repeatable;
    flight.request.kvTransfer = true;
    ++open_;
    if (decision.kind == AdmissionKind::Refused) {
        const bool byLimit = decision.code == RefusalCode::RateLimited
            || decision.code == RefusalCode::ConcurrencyLimited;
        end(index, byLimit ? Ending::RefusedByLimit : Ending::Refused);
        return;
    }
    byTicket_[asked.instance][decision.ticket] = index;
    if (decision.kind == AdmissionKind::Admitted)
        dispatch(index);
}

void Simulation::apply(std::size_t instance, const AdmissionChanges &changes)
{
    for (AdmissionTicket ticket : changes.admitted)
        dispatch(byTicket_[instance].at(ticket));
    for (const RefusedTicket &refused : changes.refused) {
        const std::size_t index = byTicket_[instance].at(refused.ticket);
        byTicket_[instance].erase(refused.ticket);
        const bool byLimit = refused.code == RefusalCode::RateLimited
            || refused.code == RefusalCode::ConcurrencyLimited;
        end(index, byLimit ? Ending::RefusedByLimit : Ending::Refused);
    }
}

EngineJob Simulation::jobFor(std::size_t index) const
{
    const WorkloadRequest &asked = workload_.requests[index];
    EngineJob job;
    job.id = flights_[index].jobId;
    job.priority = asked.priority;
    job.promptTokens = asked.promptTokens;
    job.prefixes = &asked.prefixes;
    job.outputTokens = asked.outputTokens;
    return job;
}

void Simulation::dispatch(std::size_t index)
{
    const WorkloadRequest &asked = workload_.requests[index];
    Flight &flight = flights_[index];
    InstancePolicy &policy = *instances_[asked.instance];
    flight.request.slack = asked.deadline > 0
        ? Millis(static_cast<std::int64_t>(asked.deadline)) - now()
        : Millis::never();
    const auto choice = policy.choose(flight.request, now());
    if (!choice) {
        const AdmissionTicket ticket = flight.ticket;
        byTicket_[asked.instance].erase(ticket);
        end(index, flight.attempts == 0 ? Ending::Refused : Ending::Failed);
        apply(asked.instance, policy.cancel(ticket, now()));
        return;
    }
    ++flight.attempts;
    flight.choice = *choice;
    flight.jobId = nextJob_++;
    byJob_[flight.jobId] = index;
    flight.routing = policy.router().started(flight.request, *choice, policy.table(), now());
    EngineJob job = jobFor(index);
    if (choice->prefill != noIndex)
        job.writesAnswer = false;
    send(index, choice->prefill != noIndex ? choice->prefill : choice->upstream, job);
}

void Simulation::send(std::size_t index, UpstreamIndex to, const EngineJob &job)
{
    const double delay = delayTo(workload_.requests[index].instance, to);
    queue_.after(delay, [this, to, job] { arrive(to, job); });
}

void Simulation::arrive(UpstreamIndex engine, const EngineJob &job)
{
    if (!engines_[engine].alive) {
        queue_.after(sameDomainDelay, [this, id = job.id] { broke(id, false); });
        return;
    }
    engines_[engine].add(job);
    if (!engines_[engine].stepping)
        step(engine);
}

void Simulation::step(UpstreamIndex index)
{
    FakeEngine &engine = engines_[index];
    engine.stepping = engine.alive && engine.hasWork();
    if (!engine.stepping)
        return;
    const double time = engine.beginStep();
    queue_.after(time, [this, index] {
        for (const JobEvent &event : engines_[index].endStep())
            progress(event);
        step(index);
    });
}

void Simulation::progress(const JobEvent &event)
{
    const auto entry = byJob_.find(event.id);
    if (entry == byJob_.end())
        return;
    const std::size_t index = entry->second;
    Flight &flight = flights_[index];
    const bool apart = flight.choice.prefill != noIndex;
    const double delay = delayTo(workload_.requests[index].instance, flight.choice.upstream);
    if (event.progress == JobProgress::FirstToken) {
        queue_.after(delay, [this, index, id = event.id] {
            if (flights_[index].jobId == id)
                sawFirstToken(index);
        });
        return;
    }
    if (apart && !flight.firstTokenSeen) {
        // The prompt is read; its KV cache moves to the engine that writes.
        EngineJob job = jobFor(index);
        job.readsPrompt = false;
        const double transfer = kvMsPerToken * job.promptTokens;
        queue_.after(transfer, [this, job, to = flight.choice.upstream] { arrive(to, job); });
        flight.firstTokenSeen = true;
        return;
    }
    queue_.after(delay, [this, index, id = event.id] {
        if (flights_[index].jobId == id && byJob_.count(id) > 0)
            done(index);
    });
}

void Simulation::sawFirstToken(std::size_t index)
{
    const std::size_t instance = workload_.requests[index].instance;
    records_[index].firstTokenAt = queue_.now();
    instances_[instance]->router().firstToken(flights_[index].routing, now());
    apply(instance, instances_[instance]->firstToken(flights_[index].ticket, now()));
}

void Simulation::done(std::size_t index)
{
    const WorkloadRequest &asked = workload_.requests[index];
    Flight &flight = flights_[index];
    InstancePolicy &policy = *instances_[asked.instance];
    policy.router().finished(flight.routing, UpstreamOutcome::Success, now());
    byJob_.erase(flight.jobId);
    byTicket_[asked.instance].erase(flight.ticket);
    records_[index].onReclaimable =
        table_->upstream(flight.choice.upstream).costClass == CostClass::Reclaimable;
    end(index, Ending::Answered);
    apply(asked.instance, policy.finished(flight.ticket, asked.outputTokens, now()));
}

void Simulation::broke(std::uint64_t jobId, bool mayHaveRun)
{
    const auto entry = byJob_.find(jobId);
    if (entry == byJob_.end())
        return;
    const std::size_t index = entry->second;
    byJob_.erase(entry);
    const WorkloadRequest &asked = workload_.requests[index];
    Flight &flight = flights_[index];
    InstancePolicy &policy = *instances_[asked.instance];
    policy.router().finished(flight.routing, UpstreamOutcome::Failure, now());
    policy.attemptFailed(flight.choice.upstream, now());
    flight.firstTokenSeen = false;
    const bool again = (!mayHaveRun || asked.repeatable) && flight.attempts < mostAttempts;
    if (again) {
        flight.request.tried[(flight.attempts - 1) % RoutingRequest::maxTried] =
            flight.choice.upstream;
        dispatch(index);
        return;
    }
    const AdmissionTicket ticket = flight.ticket;
    byTicket_[asked.instance].erase(ticket);
    end(index, Ending::Failed);
    apply(asked.instance, policy.cancel(ticket, now()));
}

void Simulation::end(std::size_t index, Ending ending)
{
    records_[index].ending = ending;
    records_[index].endedAt = queue_.now();
    --open_;
}

const std::vector<RequestRecord> &Simulation::run()
{
    queue_.runUntil(workload_.duration);
    const double latest = workload_.duration + afterwards;
    while (open_ > 0 && queue_.now() < latest)
        queue_.runUntil(queue_.now() + controlEvery);
    return records_;
}

void Simulation::describeEngines(Score &score) const
{
    FakeEngine::Work sum;
    for (const FakeEngine &engine : engines_) {
        sum.busyMs += engine.work().busyMs;
        sum.promptTokens += engine.work().promptTokens;
        sum.cachedTokens += engine.work().cachedTokens;
        sum.steps += engine.work().steps;
        sum.answersInSteps += engine.work().answersInSteps;
    }
    score.roleChanges = roleChanges_;
    score.engineBusy = sum.busyMs / (workload_.duration * double(engines_.size()));
    score.cachedShare = sum.cachedTokens / std::max(1.0, sum.promptTokens);
    score.meanBatch = sum.answersInSteps / std::max(1.0, sum.steps);
}

} // namespace cuminrail::policybench

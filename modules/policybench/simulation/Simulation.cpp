#include "policybench/simulation/Simulation.h"

#include <algorithm>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr double sameDomainDelay = 0.25;
constexpr double otherDomainDelay = 0.75;
constexpr double peerDelay = 1;
constexpr double tickInterval = 10;
constexpr double controlInterval = 250;
/** Time until a broken connection is detected. */
constexpr double disconnectDetectionDelay = 50;
/** Delays until the platform's list shows an outage, and its end. */
constexpr double outageListDelay = 3000;
constexpr double recoveryListDelay = 1000;
/** Time allowed after the last arrival for the remaining requests to end. */
constexpr double completionTimeout = 200000;
constexpr std::uint32_t maxAttempts = 6;
/** One of this many batches of cache events is lost. */
constexpr std::uint64_t eventLossPeriod = 101;
constexpr double kvTransferMsPerToken = 0.0131;

constexpr double roleInterval = 1000;
/** Time that an idle engine needs to change its role. */
constexpr double roleChangeDuration = 5000;
constexpr double idleCheckInterval = 50;

RolePolicy rolePolicyOf(PolicyKind kind)
{
    if (kind == PolicyKind::CuminrailRoles)
        return RolePolicy::Balancer;
    return kind == PolicyKind::CuminrailFollowMix ? RolePolicy::FollowMix : RolePolicy::Fixed;
}

} // namespace

Simulation::Simulation(const Workload &workload, PolicyKind policy, std::uint64_t seed)
    : workload_(workload), requestStates_(workload.requests.size()),
      records_(workload.requests.size()), requestByTicket_(workload.instances),
      roles_(rolePolicyOf(policy), workload),
      roleChanging_(workload.settings.fleet.engines.size(), false)
{
    for (const EngineSettings &engine : workload.settings.fleet.engines) {
        indexes_.upstreams.indexOf(engine.id);
        const EngineRole role = engineRoleNames.value(engine.role).value_or(EngineRole::Mixed);
        engines_.emplace_back(role, workload.cacheTokens);
        fleetState_.engines[engine.id].incarnation = 1;
        fleetState_.engines[engine.id].role = role;
    }
    createInstances(policy, seed);
    publishTable();
    scheduleArrivals(0);
    schedulePeriodicTasks();
    scheduleOutages();
}

void Simulation::createInstances(PolicyKind policy, std::uint64_t seed)
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
        setup.changed = [this, i](const AdmissionChanges &changes) { applyChanges(i, changes); };
        setup.random = seededRandom(seed * 100 + i);
        instances_.push_back(makeInstancePolicy(std::move(setup)));
    }
}

void Simulation::publishTable()
{
    table_ = std::make_shared<const RoutingTable>(
        buildRoutingTable(workload_.settings, fleetState_, indexes_));
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

void Simulation::schedulePeriodicTasks()
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const double offset = tickInterval * static_cast<double>(i) / double(instances_.size());
        for (double time = 0; time < workload_.duration + completionTimeout;
             time += controlInterval)
            queue_.at(time + offset, [this, i] { instances_[i]->control(now()); });
        for (double time = tickInterval; time < workload_.duration + completionTimeout;
             time += tickInterval)
            queue_.at(time + offset, [this, i] { applyChanges(i, instances_[i]->tick(now())); });
    }
    for (double time = 0; time < workload_.duration + completionTimeout;
         time += workload_.reportEvery)
        queue_.at(time, [this] { reportLoads(); });
    for (double time = roleInterval; time < workload_.duration; time += roleInterval)
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
                               fleetState_.engines[settings.id].role, roleChanging_[index],
                               static_cast<double>(load.running + load.waiting)});
    }
    for (const RoleChange &change : roles_.decide(engines, now())) {
        const UpstreamIndex engine = indexes_.upstreams.find(change.engine);
        ++roleChanges_;
        roleChanging_[engine] = true;
        fleetState_.engines[change.engine].role = EngineRole::None;
        publishTable();
        changeRoleWhenIdle(engine, change.to);
    }
}

/** Interrupts no request: the engine gets no new work, and changes role once it is idle. */
void Simulation::changeRoleWhenIdle(UpstreamIndex engine, EngineRole to)
{
    if (engines_[engine].hasWork()) {
        queue_.after(idleCheckInterval, [this, engine, to] { changeRoleWhenIdle(engine, to); });
        return;
    }
    queue_.after(roleChangeDuration, [this, engine, to] {
        engines_[engine].role = to;
        roleChanging_[engine] = false;
        fleetState_.engines[workload_.settings.fleet.engines[engine].id].role = to;
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
        if (++reportCount_ % eventLossPeriod == 0)
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
        queue_.at(outage.from, [this, &outage] { failEngines(outage); });
        queue_.at(outage.to, [this, &outage] { recoverEngines(outage); });
    }
}

void Simulation::failEngines(const Outage &outage)
{
    for (std::size_t engine : outage.engines) {
        for (std::uint64_t job : engines_[engine].crash())
            queue_.after(disconnectDetectionDelay, [this, job] { handleFailure(job, true); });
    }
    queue_.after(outageListDelay, [this, &outage] {
        for (std::size_t engine : outage.engines) {
            const UpstreamId &id = workload_.settings.fleet.engines[engine].id;
            fleetState_.leaving.mark({id, fleetState_.engines[id].incarnation});
        }
        publishTable();
    });
}

void Simulation::recoverEngines(const Outage &outage)
{
    for (std::size_t engine : outage.engines)
        engines_[engine].alive = true;
    queue_.after(recoveryListDelay, [this, &outage] {
        for (std::size_t engine : outage.engines)
            ++fleetState_.engines[workload_.settings.fleet.engines[engine].id].incarnation;
        publishTable();
    });
}

DomainIndex Simulation::domainOf(std::size_t instance) const
{
    return static_cast<DomainIndex>(instance % workload_.settings.fleet.domains.size());
}

double Simulation::networkDelay(std::size_t instance, UpstreamIndex engine) const
{
    return table_->upstream(engine).domain == domainOf(instance) ? sameDomainDelay
                                                                 : otherDomainDelay;
}

void Simulation::submit(std::size_t index)
{
    const WorkloadRequest &offered = workload_.requests[index];
    roles_.arrived(offered);
    RequestState &state = requestStates_[index];
    AdmissionRequest request;
    request.customer = indexes_.customers.find(workload_.customers[offered.customer]);
    request.pool = indexes_.pools.find("model:model");
    request.priority = offered.priority;
    request.promptTokens = offered.promptTokens;
    request.maxOutputTokens = offered.maxOutputTokens;
    if (offered.deadline > 0)
        request.deadline = Millis(static_cast<std::int64_t>(offered.deadline));
    const AdmissionDecision decision = instances_[offered.instance]->submit(request, now());

    state.ticket = decision.ticket;
    state.request.pool = request.pool;
    state.request.customer = request.customer;
    state.request.domain = domainOf(offered.instance);
    state.request.priority = offered.priority;
    state.request.promptTokens = offered.promptTokens;
    state.request.expectedOutputTokens = decision.expectedOutputTokens;
    state.request.prefixes = &offered.prefixes;
    state.request.repeatable = offered.repeatable;
    state.request.kvTransfer = true;
    ++unfinishedRequests_;
    if (decision.kind == AdmissionKind::Refused) {
        const bool byLimit = decision.code == RefusalCode::RateLimited
            || decision.code == RefusalCode::ConcurrencyLimited;
        finishRequest(index, byLimit ? Ending::RefusedByLimit : Ending::Refused);
        return;
    }
    requestByTicket_[offered.instance][decision.ticket] = index;
    if (decision.kind == AdmissionKind::Admitted)
        dispatch(index);
}

void Simulation::applyChanges(std::size_t instance, const AdmissionChanges &changes)
{
    for (AdmissionTicket ticket : changes.admitted)
        dispatch(requestByTicket_[instance].at(ticket));
    for (const RefusedTicket &refused : changes.refused) {
        const std::size_t index = requestByTicket_[instance].at(refused.ticket);
        requestByTicket_[instance].erase(refused.ticket);
        const bool byLimit = refused.code == RefusalCode::RateLimited
            || refused.code == RefusalCode::ConcurrencyLimited;
        finishRequest(index, byLimit ? Ending::RefusedByLimit : Ending::Refused);
    }
}

EngineJob Simulation::makeJob(std::size_t index) const
{
    const WorkloadRequest &offered = workload_.requests[index];
    EngineJob job;
    job.id = requestStates_[index].jobId;
    job.priority = offered.priority;
    job.promptTokens = offered.promptTokens;
    job.prefixes = &offered.prefixes;
    job.outputTokens = offered.outputTokens;
    return job;
}

void Simulation::dispatch(std::size_t index)
{
    const WorkloadRequest &offered = workload_.requests[index];
    RequestState &state = requestStates_[index];
    InstancePolicy &policy = *instances_[offered.instance];
    state.request.slack = offered.deadline > 0
        ? Millis(static_cast<std::int64_t>(offered.deadline)) - now()
        : Millis::never();
    const auto choice = policy.choose(state.request, now());
    if (!choice) {
        const AdmissionTicket ticket = state.ticket;
        requestByTicket_[offered.instance].erase(ticket);
        finishRequest(index, state.attempts == 0 ? Ending::Refused : Ending::Failed);
        applyChanges(offered.instance, policy.cancel(ticket, now()));
        return;
    }
    ++state.attempts;
    state.choice = *choice;
    state.jobId = nextJob_++;
    requestByJob_[state.jobId] = index;
    state.routing = policy.router().started(state.request, *choice, policy.table(), now());
    EngineJob job = makeJob(index);
    if (choice->prefill != noIndex)
        job.writesAnswer = false;
    sendJob(index, choice->prefill != noIndex ? choice->prefill : choice->upstream, job);
}

void Simulation::sendJob(std::size_t index, UpstreamIndex to, const EngineJob &job)
{
    const double delay = networkDelay(workload_.requests[index].instance, to);
    queue_.after(delay, [this, to, job] { deliverJob(to, job); });
}

void Simulation::deliverJob(UpstreamIndex engine, const EngineJob &job)
{
    if (!engines_[engine].alive) {
        queue_.after(sameDomainDelay, [this, id = job.id] { handleFailure(id, false); });
        return;
    }
    engines_[engine].add(job);
    if (!engines_[engine].stepping)
        runStep(engine);
}

void Simulation::runStep(UpstreamIndex index)
{
    FakeEngine &engine = engines_[index];
    engine.stepping = engine.alive && engine.hasWork();
    if (!engine.stepping)
        return;
    const double time = engine.beginStep();
    queue_.after(time, [this, index] {
        for (const JobEvent &event : engines_[index].endStep())
            handleJobEvent(event);
        runStep(index);
    });
}

void Simulation::handleJobEvent(const JobEvent &event)
{
    const auto entry = requestByJob_.find(event.id);
    if (entry == requestByJob_.end())
        return;
    const std::size_t index = entry->second;
    RequestState &state = requestStates_[index];
    const bool separatePrefill = state.choice.prefill != noIndex;
    const double delay = networkDelay(workload_.requests[index].instance, state.choice.upstream);
    if (event.progress == JobProgress::FirstToken) {
        queue_.after(delay, [this, index, id = event.id] {
            if (requestStates_[index].jobId == id)
                handleFirstToken(index);
        });
        return;
    }
    if (separatePrefill && !state.prefillFinished) {
        // Prefill is complete; its KV cache is transferred to the decode engine.
        EngineJob job = makeJob(index);
        job.readsPrompt = false;
        const double transferMs = kvTransferMsPerToken * job.promptTokens;
        queue_.after(transferMs, [this, job, to = state.choice.upstream] { deliverJob(to, job); });
        state.prefillFinished = true;
        return;
    }
    queue_.after(delay, [this, index, id = event.id] {
        if (requestStates_[index].jobId == id && requestByJob_.count(id) > 0)
            handleCompletion(index);
    });
}

void Simulation::handleFirstToken(std::size_t index)
{
    const std::size_t instance = workload_.requests[index].instance;
    records_[index].firstTokenAt = queue_.now();
    instances_[instance]->router().firstToken(requestStates_[index].routing, now());
    applyChanges(instance, instances_[instance]->firstToken(requestStates_[index].ticket, now()));
}

void Simulation::handleCompletion(std::size_t index)
{
    const WorkloadRequest &offered = workload_.requests[index];
    RequestState &state = requestStates_[index];
    InstancePolicy &policy = *instances_[offered.instance];
    policy.router().finished(state.routing, UpstreamOutcome::Success, now());
    requestByJob_.erase(state.jobId);
    requestByTicket_[offered.instance].erase(state.ticket);
    records_[index].onReclaimable =
        table_->upstream(state.choice.upstream).costClass == CostClass::Reclaimable;
    finishRequest(index, Ending::Answered);
    applyChanges(offered.instance, policy.finished(state.ticket, offered.outputTokens, now()));
}

void Simulation::handleFailure(std::uint64_t jobId, bool mayHaveRun)
{
    const auto entry = requestByJob_.find(jobId);
    if (entry == requestByJob_.end())
        return;
    const std::size_t index = entry->second;
    requestByJob_.erase(entry);
    const WorkloadRequest &offered = workload_.requests[index];
    RequestState &state = requestStates_[index];
    InstancePolicy &policy = *instances_[offered.instance];
    policy.router().finished(state.routing, UpstreamOutcome::Failure, now());
    policy.attemptFailed(state.choice.upstream, now());
    state.prefillFinished = false;
    const bool canRetry = (!mayHaveRun || offered.repeatable) && state.attempts < maxAttempts;
    if (canRetry) {
        state.request.tried[(state.attempts - 1) % RoutingRequest::maxTried] =
            state.choice.upstream;
        dispatch(index);
        return;
    }
    const AdmissionTicket ticket = state.ticket;
    requestByTicket_[offered.instance].erase(ticket);
    finishRequest(index, Ending::Failed);
    applyChanges(offered.instance, policy.cancel(ticket, now()));
}

void Simulation::finishRequest(std::size_t index, Ending ending)
{
    records_[index].ending = ending;
    records_[index].endedAt = queue_.now();
    --unfinishedRequests_;
}

const std::vector<RequestRecord> &Simulation::run()
{
    queue_.runUntil(workload_.duration);
    const double endTime = workload_.duration + completionTimeout;
    while (unfinishedRequests_ > 0 && queue_.now() < endTime)
        queue_.runUntil(queue_.now() + controlInterval);
    return records_;
}

void Simulation::describeEngines(Score &score) const
{
    FakeEngine::Work total;
    for (const FakeEngine &engine : engines_) {
        total.busyMs += engine.work().busyMs;
        total.promptTokens += engine.work().promptTokens;
        total.cachedTokens += engine.work().cachedTokens;
        total.steps += engine.work().steps;
        total.answersInSteps += engine.work().answersInSteps;
    }
    score.roleChanges = roleChanges_;
    score.engineBusy = total.busyMs / (workload_.duration * double(engines_.size()));
    score.cachedShare = total.cachedTokens / std::max(1.0, total.promptTokens);
    score.meanBatch = total.answersInSteps / std::max(1.0, total.steps);
}

} // namespace cuminrail::policybench

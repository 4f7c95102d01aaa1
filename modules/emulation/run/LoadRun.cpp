#include "emulation/run/LoadRun.h"

#include "dataplane/waiting/CallerTimeout.h"

#include <algorithm>

namespace cuminrail::emulation {

namespace {

/** Same values as in the gateway's request relay. */
constexpr double responseTravelMs = 30;
constexpr double minUsefulMs = 20;
constexpr int maxRefusals = 2;
constexpr int defaultUrgency = 3;
constexpr double sampleIntervalMs = 1000;
constexpr double deferredIntervalMs = 25;
constexpr const char *service = "engines";

/** Returns the caller's timeout for the first event. */
double callerTimeoutMs(const LoadKind &kind)
{
    const Millis goal(static_cast<std::int64_t>(kind.goalMs));
    const Millis gapGoal(static_cast<std::int64_t>(kind.pauseGoalMs));
    return static_cast<double>(callerTimeout(goal, gapGoal).count());
}

} // namespace

LoadRun::LoadRun(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                 const LoadChoices &choices)
    : plan_(plan), requests_(requests),
      fleet_(plan, queue_, choices.decisions.stages,
             {[this](const EngineOutput &output) { onOutput(output); },
              [this](std::uint64_t job, bool mayHaveRun) { onLost(job, mayHaveRun); }}),
      requestStates_(requests.size()), records_(requests.size()),
      deferral_(choices.decisions.deferral), decisions_(choices.decisions),
      stopwatch_(choices.stopwatch)
{
    RetryBounds bounds;
    bounds.ratio = plan.repeatRatio;
    bounds.extra = plan.repeatExtra;
    bounds.window = Millis(static_cast<std::int64_t>(plan.repeatWindowMs));
    for (int i = 0; i < plan.instances; ++i) {
        Instance instance;
        instance.domain = plan.domains[std::size_t(i) % plan.domains.size()];
        instance.placement = makePlacement(choices.placement, choices.decisions.placement);
        instance.retries = std::make_unique<RetryAllowance>(bounds);
        instance.retries->setInstances(std::size_t(plan.instances));
        instances_.push_back(std::move(instance));
    }
    for (std::size_t i = 0; i < requests.size(); ++i)
        queue_.at(requests[i].atMs, [this, i] { arrive(i); });
    for (double at = 0; at < plan.lengthMs + 8000; at += deferredIntervalMs)
        queue_.at(at, [this] {
            for (Instance &instance : instances_)
                dispatchDeferred(instance);
        });
    for (double at = 0; at < plan.lengthMs; at += sampleIntervalMs)
        queue_.at(at, [this] { samples_.push_back(fleet_.sample()); });
}

void LoadRun::play()
{
    double latest = plan_.lengthMs;
    for (const LoadKind &kind : plan_.kinds)
        latest = std::max(latest, plan_.lengthMs + kind.deadlineMs);
    queue_.runUntil(latest);
}

LoadReport LoadRun::report() const
{
    EngineTotals totals = fleet_.totals();
    totals.repeats = retries_;
    return makeLoadReport(plan_, requests_, records_, totals);
}

void LoadRun::arrive(std::size_t index)
{
    const LoadKind &kind = kindOf(index);
    requestStates_[index].endsAt = queue_.now() + kind.deadlineMs - responseTravelMs;
    // The caller times out without any event; its work at engines is cancelled.
    queue_.at(queue_.now() + callerTimeoutMs(kind), [this, index] {
        if (requestStates_[index].isOver || requestStates_[index].receivedEvents > 0)
            return;
        endAttempt(index);
        end(index, LoadEnding::Failed);
    });
    queue_.at(requestStates_[index].endsAt, [this, index] {
        if (requestStates_[index].isOver)
            return;
        endAttempt(index);
        giveUp(index);
    });
    dispatch(index);
}

PlacementQuery LoadRun::queryFor(std::size_t index) const
{
    const LoadRequest &request = requests_[index];
    const Instance &instance = instances_[request.instance];
    PlacementQuery query;
    query.prompt = &request.prompt;
    query.bodyBytes =
        static_cast<std::size_t>(request.prompt.inputTokens * plan_.bodyBytesPerToken);
    query.ownDomain = instance.domain;
    query.tried = &requestStates_[index].tried;
    query.now = now();
    query.allowsHandOver = requestStates_[index].allowsHandOver;
    query.offer = [&estimates = requestStates_[index].estimates](const std::string &id) {
        const auto found = estimates.find(id);
        return found == estimates.end() ? std::nullopt
                                        : std::optional<PrefillEstimate>(found->second);
    };
    query.badShare = [&instance](const std::string &id) { return instance.health.badShare(id); };
    query.isEjected = [&instance, at = now()](const std::string &id) {
        return instance.health.isEjected(id, at);
    };
    return query;
}

bool LoadRun::tryAcquireRetry(std::size_t index)
{
    if (requestStates_[index].sends >= kindOf(index).maxAttempts
        || !instanceOf(index).retries->tryAcquireRetry(service, now()))
        return false;
    ++retries_;
    return true;
}

void LoadRun::dispatch(std::size_t index)
{
    RequestState &state = requestStates_[index];
    if (state.isOver)
        return;
    state.isPromptRead = false;
    const bool isRetry = state.sends + state.refusals > 0;
    if (state.endsAt - queue_.now() < minUsefulMs || state.refusals > maxRefusals
        || (isRetry && !tryAcquireRetry(index)))
        return giveUp(index);
    Instance &instance = instanceOf(index);
    const double began = stopwatch_ ? stopwatch_() : 0;
    state.choice = instance.placement->choose(fleet_.known(), queryFor(index));
    if (stopwatch_)
        decisionMicros_.push_back(stopwatch_() - began);
    const bool isKnownBusy =
        state.wasQueried && state.choice && decide(index) != PromptDecision::Send;
    if (state.choice && state.choice->prefill && !isKnownBusy)
        queryTrackers(index);
    if (!state.choice)
        return giveUp(index);
    if (isRetry)
        return dispatchToEngine(index);
    const PromptDecision decision = decide(index);
    if (decision == PromptDecision::Send)
        return dispatchToEngine(index);
    state.choice.reset();
    if (decision == PromptDecision::Refuse)
        return giveUp(index);
    instance.deferred.push_back(index);
    if (!state.isDeferred) {
        state.isDeferred = true;
        state.deferredAt = now();
        instance.deferredPrompts.add(kindOf(index).name, state.deferredAt);
    }
}

void LoadRun::queryTrackers(std::size_t index)
{
    RequestState &state = requestStates_[index];
    EnginePlacement *own = instanceOf(index).placement->own();
    const std::size_t maxQueries = decisions_.booksAskedFor(state.choice->freshTokens);
    if (own == nullptr || maxQueries == 0)
        return;
    state.wasQueried = true;
    const PromptChain chain = PromptChain::of(requests_[index].prompt);
    const PlacementQuery query = queryFor(index);
    for (const auto &prefillEngine : own->rankPrefillEngines(fleet_.known(), query, maxQueries)) {
        const std::string &id = prefillEngine->entry.id;
        state.estimates[id] = prefillTrackers_[id].estimate(chain, now());
        own->setReportedWait(id, state.estimates[id].waitMillis, now());
    }
    state.choice = own->choose(fleet_.known(), query);
    state.estimates.clear();
}

void LoadRun::trackPrefill(std::size_t index)
{
    RequestState &state = requestStates_[index];
    EnginePlacement *own = instanceOf(index).placement->own();
    if (own == nullptr || !state.choice->prefill
        || !decisions_.isEntered(state.choice->freshTokens))
        return;
    state.trackedEngine = state.choice->prefill->entry.id;
    state.prefillId.number = state.job;
    const PrefillRateEstimator &rate = own->prefillRate();
    prefillTrackers_[state.trackedEngine].add(
        state.prefillId, PromptChain::of(requests_[index].prompt), state.choice->freshTokens,
        {rate.tokensPerMilli(), rate.fixedMillis()}, now());
}

void LoadRun::cancelTrackedPrefill(std::size_t index)
{
    RequestState &state = requestStates_[index];
    if (!state.trackedEngine.empty())
        prefillTrackers_[state.trackedEngine].cancel(state.prefillId, now());
    state.trackedEngine.clear();
}

PromptDecision LoadRun::decide(std::size_t index) const
{
    const LoadKind &kind = kindOf(index);
    const EngineChoice &choice = *requestStates_[index].choice;
    const auto millis = [](double value) { return Millis(static_cast<std::int64_t>(value)); };
    PromptOutlook outlook;
    outlook.waitMillis = choice.waitMillis;
    outlook.firstEventMillis = choice.firstEventMillis;
    outlook.elapsed = millis(queue_.now() - requests_[index].atMs);
    outlook.goal = millis(kind.goalMs);
    outlook.callerTimeout = millis(callerTimeoutMs(kind));
    if (!requestStates_[index].isDeferred)
        outlook.queueAge =
            instances_[requests_[index].instance].deferredPrompts.oldestAge(kind.name, now());
    return deferral_.decide(outlook);
}

void LoadRun::clearDeferred(std::size_t index)
{
    RequestState &state = requestStates_[index];
    if (state.isDeferred)
        instanceOf(index).deferredPrompts.remove(kindOf(index).name, state.deferredAt);
    state.isDeferred = false;
}

void LoadRun::dispatchDeferred(Instance &instance)
{
    const std::vector<std::size_t> deferred = std::move(instance.deferred);
    instance.deferred.clear();
    for (const std::size_t index : deferred) {
        if (!requestStates_[index].isOver)
            dispatch(index);
    }
}

void LoadRun::dispatchToEngine(std::size_t index)
{
    clearDeferred(index);
    RequestState &state = requestStates_[index];
    Instance &instance = instanceOf(index);
    instance.placement->dispatched(*state.choice, requests_[index].prompt, now());
    state.sentAt = now();
    const bool isPrefill = state.choice->prefill != nullptr;
    if (!isPrefill)
        instance.retries->recordFirstAttempt(service, now());
    send(index, firstEngineOf(state), isPrefill);
}

std::string LoadRun::firstEngineOf(const RequestState &state) const
{
    return (state.choice->prefill ? state.choice->prefill : state.choice->engine)->entry.id;
}

double LoadRun::travel(std::size_t index, const std::string &engineDomain) const
{
    const bool isNear = instances_[requests_[index].instance].domain == engineDomain;
    return isNear ? plan_.nearMs : plan_.farMs;
}

void LoadRun::send(std::size_t index, const std::string &engine, bool isPrefill)
{
    RequestState &state = requestStates_[index];
    const LoadKind &kind = kindOf(index);
    state.job = nextJob_++;
    state.isPrefilling = isPrefill;
    trackPrefill(index);
    byJob_[state.job] = index;
    EngineJob job;
    job.id = state.job;
    job.chain = PromptChain::of(requests_[index].prompt);
    job.isPrefillOnly = isPrefill;
    job.events = isPrefill ? 1 : std::max(1, requests_[index].events - state.receivedEvents);
    job.urgency = std::clamp(defaultUrgency + kind.priority, 0, 9);
    const double reached = queue_.now() - requests_[index].atMs + state.choice->firstEventMillis;
    if (isPrefill && reached > kind.goalMs)
        job.urgency = static_cast<int>(decisions_.lateUrgency);
    const auto &record = isPrefill ? state.choice->prefill : state.choice->engine;
    const auto &prefixSource = state.choice->prefixFrom;
    const std::string source = isPrefill && prefixSource ? prefixSource->entry.id : std::string();
    queue_.after(travel(index, record->entry.failureDomain), [this, index, engine, job, source] {
        if (requestStates_[index].job != job.id || requestStates_[index].isOver)
            return;
        const auto refusal = source.empty() ? fleet_.offer(engine, job)
                                            : fleet_.offerWithPrefix(engine, job, source);
        if (refusal)
            onRefused(index, *refusal);
    });
}

void LoadRun::sendFetched(std::size_t index)
{
    RequestState &state = requestStates_[index];
    Instance &instance = instanceOf(index);
    instance.retries->recordFirstAttempt(service, now());
    instance.placement->handedOver(*state.choice, requests_[index].prompt, now());
    state.isPrefilling = false;
    EngineJob job;
    job.id = state.job;
    job.chain = PromptChain::of(requests_[index].prompt);
    job.isFetched = true;
    job.events = std::max(1, requests_[index].events - state.receivedEvents);
    job.urgency = std::clamp(defaultUrgency + kindOf(index).priority, 0, 9);
    const UpstreamEntry &decodeEngine = state.choice->engine->entry;
    queue_.after(travel(index, decodeEngine.failureDomain), [this, index, job] {
        const RequestState &current = requestStates_[index];
        if (current.job != job.id || current.isOver)
            return;
        const auto refusal = fleet_.offerFetched(current.choice->engine->entry.id, job,
                                                 current.choice->prefill->entry.id);
        if (refusal)
            onRefused(index, *refusal);
    });
}

void LoadRun::onOutput(const EngineOutput &output)
{
    const auto found = byJob_.find(output.job);
    if (found == byJob_.end())
        return;
    const std::size_t index = found->second;
    const RequestState &state = requestStates_[index];
    if (state.isOver || state.job != output.job)
        return;
    const auto &record = state.isPrefilling ? state.choice->prefill : state.choice->engine;
    const double delay = travel(index, record->entry.failureDomain);
    const auto what = output.sign == EngineSign::PromptRead ? &LoadRun::onPrefillDone
        : output.sign == EngineSign::Event                  ? &LoadRun::onEvent
                                                            : &LoadRun::onDone;
    notifyInstance(index, delay, what);
}

void LoadRun::notifyInstance(std::size_t index, double delay, void (LoadRun::*what)(std::size_t))
{
    queue_.after(delay, [this, index, what, job = requestStates_[index].job] {
        if (requestStates_[index].job == job && !requestStates_[index].isOver)
            (this->*what)(index);
    });
}

void LoadRun::onPrefillDone(std::size_t index)
{
    RequestState &state = requestStates_[index];
    Instance &instance = instanceOf(index);
    instance.placement->promptRead(*state.choice, state.sentAt, now());
    if (!state.trackedEngine.empty())
        prefillTrackers_[state.trackedEngine].complete(state.prefillId, now());
    state.trackedEngine.clear();
    instance.health.record(state.choice->prefill->entry.id, AttemptSign::Good, now());
    state.isPromptRead = true;
    sendFetched(index);
}

void LoadRun::onEvent(std::size_t index)
{
    RequestState &state = requestStates_[index];
    LoadRecord &record = records_[index];
    Instance &instance = instanceOf(index);
    if (!state.isPromptRead) {
        state.isPromptRead = true;
        instance.placement->promptRead(*state.choice, state.sentAt, now());
    }
    instance.placement->runBegan(*state.choice, now());
    if (state.receivedEvents++ == 0) {
        record.firstAt = queue_.now();
    } else {
        const double pause = queue_.now() - state.lastEventAt;
        record.longestPauseMs = std::max(record.longestPauseMs, pause);
    }
    state.lastEventAt = queue_.now();
}

void LoadRun::onDone(std::size_t index)
{
    RequestState &state = requestStates_[index];
    const LoadKind &kind = kindOf(index);
    instanceOf(index).health.record(state.choice->engine->entry.id, AttemptSign::Good, now());
    endAttempt(index);
    const bool isOnTime = records_[index].firstAt - requests_[index].atMs <= kind.goalMs
        && records_[index].longestPauseMs <= kind.pauseGoalMs;
    end(index, isOnTime ? LoadEnding::OnTime : LoadEnding::Late);
}

void LoadRun::onRefused(std::size_t index, EngineRefusal why)
{
    RequestState &state = requestStates_[index];
    Instance &instance = instanceOf(index);
    const std::string engine =
        state.isPrefilling ? state.choice->prefill->entry.id : state.choice->engine->entry.id;
    const bool isGone = why == EngineRefusal::Gone;
    instance.health.record(engine, isGone ? AttemptSign::Broken : AttemptSign::Full, now());
    if (!isGone)
        instance.placement->refused(engine, now());
    endAttempt(index);
    state.allowsHandOver = false;
    if (state.isPrefilling) {
        // The decode engine has run nothing; the prefill is sent to another engine as a retry.
        if (!instance.retries->tryAcquireRetry(service, now()))
            return giveUp(index);
        ++retries_;
    } else {
        ++state.refusals;
        state.tried.insert(engine);
    }
    dispatch(index);
}

void LoadRun::onLost(std::uint64_t job, bool mayHaveRun)
{
    const auto found = byJob_.find(job);
    if (found == byJob_.end() || requestStates_[found->second].job != job
        || requestStates_[found->second].isOver)
        return;
    const std::size_t index = found->second;
    RequestState &state = requestStates_[index];
    if (!mayHaveRun || state.isPrefilling)
        return onRefused(index, mayHaveRun ? EngineRefusal::Gone : EngineRefusal::Changing);
    const std::string &engine = state.choice->engine->entry.id;
    instanceOf(index).health.record(engine, AttemptSign::Broken, now());
    state.tried.insert(engine);
    endAttempt(index);
    ++state.sends;
    state.mayHaveRun = true;
    if (!kindOf(index).canResume)
        return giveUp(index);
    dispatch(index);
}

void LoadRun::endAttempt(std::size_t index)
{
    RequestState &state = requestStates_[index];
    cancelTrackedPrefill(index);
    if (!state.choice)
        return;
    fleet_.cancel(state.choice->engine->entry.id, state.job);
    if (state.choice->prefill)
        fleet_.cancel(state.choice->prefill->entry.id, state.job);
    instanceOf(index).placement->finished(*state.choice, state.isPromptRead, now());
    byJob_.erase(state.job);
    state.job = 0;
}

void LoadRun::giveUp(std::size_t index)
{
    const RequestState &state = requestStates_[index];
    end(index,
        state.mayHaveRun || state.receivedEvents > 0 ? LoadEnding::Failed : LoadEnding::Refused);
}

void LoadRun::end(std::size_t index, LoadEnding ending)
{
    clearDeferred(index);
    requestStates_[index].isOver = true;
    requestStates_[index].choice.reset();
    records_[index].ending = ending;
    records_[index].endedAt = queue_.now();
}

} // namespace cuminrail::emulation

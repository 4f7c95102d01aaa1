#include "emulation/run/LoadRun.h"

#include "dataplane/waiting/CallerTimeout.h"

#include <algorithm>

namespace cuminrail::emulation {

namespace {

/** As the gateway's request relay has them. */
constexpr double answerTravelMs = 30;
constexpr double leastUsefulMs = 20;
constexpr int mostRefusals = 2;
constexpr int usualUrgency = 3;
constexpr double sampleEveryMs = 1000;
constexpr double heldEveryMs = 25;
constexpr const char *service = "engines";

/** How long a caller waits for a first event. */
double patienceMs(const LoadKind &kind)
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
              [this](std::uint64_t job, bool mayHaveRun) { lost(job, mayHaveRun); }}),
      flights_(requests.size()), records_(requests.size()), deferral_(choices.decisions.deferral),
      decisions_(choices.decisions), stopwatch_(choices.stopwatch)
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
    for (double at = 0; at < plan.lengthMs + 8000; at += heldEveryMs)
        queue_.at(at, [this] {
            for (Instance &instance : instances_)
                sendHeld(instance);
        });
    for (double at = 0; at < plan.lengthMs; at += sampleEveryMs)
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
    totals.repeats = repeats_;
    return makeLoadReport(plan_, requests_, records_, totals);
}

void LoadRun::arrive(std::size_t index)
{
    const LoadKind &kind = kindOf(index);
    flights_[index].endsAt = queue_.now() + kind.deadlineMs - answerTravelMs;
    // Nothing came in all that time: the caller leaves, and its work at engines is ended.
    queue_.at(queue_.now() + patienceMs(kind), [this, index] {
        if (flights_[index].isOver || flights_[index].eventsGot > 0)
            return;
        settle(index);
        end(index, LoadEnding::Failed);
    });
    queue_.at(flights_[index].endsAt, [this, index] {
        if (flights_[index].isOver)
            return;
        settle(index);
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
    query.tried = &flights_[index].tried;
    query.now = now();
    query.allowsHandOver = flights_[index].allowsHandOver;
    query.offer = [&offers = flights_[index].offers](const std::string &id) {
        const auto found = offers.find(id);
        return found == offers.end() ? std::nullopt : std::optional<PrefillEstimate>(found->second);
    };
    query.badShare = [&instance](const std::string &id) { return instance.health.badShare(id); };
    query.isEjected = [&instance, at = now()](const std::string &id) {
        return instance.health.isEjected(id, at);
    };
    return query;
}

bool LoadRun::mayRepeat(std::size_t index)
{
    if (flights_[index].sends >= kindOf(index).maxAttempts
        || !instanceOf(index).retries->tryAcquireRetry(service, now()))
        return false;
    ++repeats_;
    return true;
}

void LoadRun::dispatch(std::size_t index)
{
    Flight &flight = flights_[index];
    if (flight.isOver)
        return;
    flight.isPromptRead = false;
    const bool isRepeat = flight.sends + flight.refusals > 0;
    if (flight.endsAt - queue_.now() < leastUsefulMs || flight.refusals > mostRefusals
        || (isRepeat && !mayRepeat(index)))
        return giveUp(index);
    Instance &instance = instanceOf(index);
    const double began = stopwatch_ ? stopwatch_() : 0;
    flight.choice = instance.placement->choose(fleet_.known(), queryFor(index));
    if (stopwatch_)
        decisionMicros_.push_back(stopwatch_() - began);
    const bool isKnownBusy =
        flight.wasAsked && flight.choice && decide(index) != PromptDecision::Send;
    if (flight.choice && flight.choice->prefill && !isKnownBusy)
        askBooks(index);
    if (!flight.choice)
        return giveUp(index);
    if (isRepeat)
        return place(index);
    const PromptDecision decision = decide(index);
    if (decision == PromptDecision::Send)
        return place(index);
    flight.choice.reset();
    if (decision == PromptDecision::Refuse)
        return giveUp(index);
    instance.held.push_back(index);
    if (!flight.isHeld) {
        flight.isHeld = true;
        flight.heldAt = now();
        instance.heldPrompts.add(kindOf(index).name, flight.heldAt);
    }
}

void LoadRun::askBooks(std::size_t index)
{
    Flight &flight = flights_[index];
    EnginePlacement *own = instanceOf(index).placement->own();
    const std::size_t asked = decisions_.booksAskedFor(flight.choice->freshTokens);
    if (own == nullptr || asked == 0)
        return;
    flight.wasAsked = true;
    const PromptChain chain = PromptChain::of(requests_[index].prompt);
    const PlacementQuery query = queryFor(index);
    for (const auto &reader : own->rankPrefillEngines(fleet_.known(), query, asked)) {
        const std::string &id = reader->entry.id;
        flight.offers[id] = books_[id].estimate(chain, now());
        own->setReportedWait(id, flight.offers[id].waitMillis, now());
    }
    flight.choice = own->choose(fleet_.known(), query);
    flight.offers.clear();
}

void LoadRun::enterBook(std::size_t index)
{
    Flight &flight = flights_[index];
    EnginePlacement *own = instanceOf(index).placement->own();
    if (own == nullptr || !flight.choice->prefill
        || !decisions_.isEntered(flight.choice->freshTokens))
        return;
    flight.book = flight.choice->prefill->entry.id;
    flight.ticket.number = flight.job;
    const PrefillRateEstimator &rate = own->prefillRate();
    books_[flight.book].add(flight.ticket, PromptChain::of(requests_[index].prompt),
                            flight.choice->freshTokens, {rate.tokensPerMilli(), rate.fixedMillis()},
                            now());
}

void LoadRun::takeBack(std::size_t index)
{
    Flight &flight = flights_[index];
    if (!flight.book.empty())
        books_[flight.book].cancel(flight.ticket, now());
    flight.book.clear();
}

PromptDecision LoadRun::decide(std::size_t index) const
{
    const LoadKind &kind = kindOf(index);
    const EngineChoice &choice = *flights_[index].choice;
    const auto millis = [](double value) { return Millis(static_cast<std::int64_t>(value)); };
    PromptOutlook outlook;
    outlook.waitMillis = choice.waitMillis;
    outlook.firstEventMillis = choice.firstEventMillis;
    outlook.elapsed = millis(queue_.now() - requests_[index].atMs);
    outlook.goal = millis(kind.goalMs);
    outlook.callerTimeout = millis(patienceMs(kind));
    if (!flights_[index].isHeld)
        outlook.queueAge =
            instances_[requests_[index].instance].heldPrompts.oldestAge(kind.name, now());
    return deferral_.decide(outlook);
}

void LoadRun::releaseHeld(std::size_t index)
{
    Flight &flight = flights_[index];
    if (flight.isHeld)
        instanceOf(index).heldPrompts.remove(kindOf(index).name, flight.heldAt);
    flight.isHeld = false;
}

void LoadRun::sendHeld(Instance &instance)
{
    const std::vector<std::size_t> held = std::move(instance.held);
    instance.held.clear();
    for (const std::size_t index : held) {
        if (!flights_[index].isOver)
            dispatch(index);
    }
}

void LoadRun::place(std::size_t index)
{
    releaseHeld(index);
    Flight &flight = flights_[index];
    Instance &instance = instanceOf(index);
    instance.placement->dispatched(*flight.choice, requests_[index].prompt, now());
    flight.sentAt = now();
    const bool isPrefill = flight.choice->prefill != nullptr;
    if (!isPrefill)
        instance.retries->recordFirstAttempt(service, now());
    send(index, readerOf(flight), isPrefill);
}

std::string LoadRun::readerOf(const Flight &flight) const
{
    return (flight.choice->prefill ? flight.choice->prefill : flight.choice->engine)->entry.id;
}

double LoadRun::travel(std::size_t index, const std::string &engineDomain) const
{
    const bool isNear = instances_[requests_[index].instance].domain == engineDomain;
    return isNear ? plan_.nearMs : plan_.farMs;
}

void LoadRun::send(std::size_t index, const std::string &engine, bool isPrefill)
{
    Flight &flight = flights_[index];
    const LoadKind &kind = kindOf(index);
    flight.job = nextJob_++;
    flight.isReading = isPrefill;
    enterBook(index);
    byJob_[flight.job] = index;
    EngineJob job;
    job.id = flight.job;
    job.chain = PromptChain::of(requests_[index].prompt);
    job.isPrefillOnly = isPrefill;
    job.events = isPrefill ? 1 : std::max(1, requests_[index].events - flight.eventsGot);
    job.urgency = std::clamp(usualUrgency + kind.priority, 0, 9);
    const double reached = queue_.now() - requests_[index].atMs + flight.choice->firstEventMillis;
    if (isPrefill && reached > kind.goalMs)
        job.urgency = static_cast<int>(decisions_.lateUrgency);
    const auto &record = isPrefill ? flight.choice->prefill : flight.choice->engine;
    const auto &holder = flight.choice->prefixFrom;
    const std::string source = isPrefill && holder ? holder->entry.id : std::string();
    queue_.after(travel(index, record->entry.failureDomain), [this, index, engine, job, source] {
        if (flights_[index].job != job.id || flights_[index].isOver)
            return;
        const auto refusal = source.empty() ? fleet_.offer(engine, job)
                                            : fleet_.offerWithPrefix(engine, job, source);
        if (refusal)
            refused(index, *refusal);
    });
}

void LoadRun::sendFetched(std::size_t index)
{
    Flight &flight = flights_[index];
    Instance &instance = instanceOf(index);
    instance.retries->recordFirstAttempt(service, now());
    instance.placement->handedOver(*flight.choice, requests_[index].prompt, now());
    flight.isReading = false;
    EngineJob job;
    job.id = flight.job;
    job.chain = PromptChain::of(requests_[index].prompt);
    job.isFetched = true;
    job.events = std::max(1, requests_[index].events - flight.eventsGot);
    job.urgency = std::clamp(usualUrgency + kindOf(index).priority, 0, 9);
    const UpstreamEntry &runner = flight.choice->engine->entry;
    queue_.after(travel(index, runner.failureDomain), [this, index, job] {
        const Flight &current = flights_[index];
        if (current.job != job.id || current.isOver)
            return;
        const auto refusal = fleet_.offerFetched(current.choice->engine->entry.id, job,
                                                 current.choice->prefill->entry.id);
        if (refusal)
            refused(index, *refusal);
    });
}

void LoadRun::onOutput(const EngineOutput &output)
{
    const auto found = byJob_.find(output.job);
    if (found == byJob_.end())
        return;
    const std::size_t index = found->second;
    const Flight &flight = flights_[index];
    if (flight.isOver || flight.job != output.job)
        return;
    const auto &record = flight.isReading ? flight.choice->prefill : flight.choice->engine;
    const double delay = travel(index, record->entry.failureDomain);
    const auto what = output.sign == EngineSign::PromptRead ? &LoadRun::promptReadApart
        : output.sign == EngineSign::Event                  ? &LoadRun::gotEvent
                                                            : &LoadRun::finished;
    reachCaller(index, delay, what);
}

void LoadRun::reachCaller(std::size_t index, double delay, void (LoadRun::*what)(std::size_t))
{
    queue_.after(delay, [this, index, what, job = flights_[index].job] {
        if (flights_[index].job == job && !flights_[index].isOver)
            (this->*what)(index);
    });
}

void LoadRun::promptReadApart(std::size_t index)
{
    Flight &flight = flights_[index];
    Instance &instance = instanceOf(index);
    instance.placement->promptRead(*flight.choice, flight.sentAt, now());
    if (!flight.book.empty())
        books_[flight.book].complete(flight.ticket, now());
    flight.book.clear();
    instance.health.record(flight.choice->prefill->entry.id, AttemptSign::Good, now());
    flight.isPromptRead = true;
    sendFetched(index);
}

void LoadRun::gotEvent(std::size_t index)
{
    Flight &flight = flights_[index];
    LoadRecord &record = records_[index];
    Instance &instance = instanceOf(index);
    if (!flight.isPromptRead) {
        flight.isPromptRead = true;
        instance.placement->promptRead(*flight.choice, flight.sentAt, now());
    }
    instance.placement->runBegan(*flight.choice, now());
    if (flight.eventsGot++ == 0) {
        record.firstAt = queue_.now();
    } else {
        const double pause = queue_.now() - flight.lastEventAt;
        record.longestPauseMs = std::max(record.longestPauseMs, pause);
    }
    flight.lastEventAt = queue_.now();
}

void LoadRun::finished(std::size_t index)
{
    Flight &flight = flights_[index];
    const LoadKind &kind = kindOf(index);
    instanceOf(index).health.record(flight.choice->engine->entry.id, AttemptSign::Good, now());
    settle(index);
    const bool isOnTime = records_[index].firstAt - requests_[index].atMs <= kind.goalMs
        && records_[index].longestPauseMs <= kind.pauseGoalMs;
    end(index, isOnTime ? LoadEnding::OnTime : LoadEnding::Late);
}

void LoadRun::refused(std::size_t index, EngineRefusal why)
{
    Flight &flight = flights_[index];
    Instance &instance = instanceOf(index);
    const std::string engine =
        flight.isReading ? flight.choice->prefill->entry.id : flight.choice->engine->entry.id;
    const bool isGone = why == EngineRefusal::Gone;
    instance.health.record(engine, isGone ? AttemptSign::Broken : AttemptSign::Full, now());
    if (!isGone)
        instance.placement->refused(engine, now());
    settle(index);
    flight.allowsHandOver = false;
    if (flight.isReading) {
        // Nothing ran; another engine reads, which is a send more.
        if (!instance.retries->tryAcquireRetry(service, now()))
            return giveUp(index);
        ++repeats_;
    } else {
        ++flight.refusals;
        flight.tried.insert(engine);
    }
    dispatch(index);
}

void LoadRun::lost(std::uint64_t job, bool mayHaveRun)
{
    const auto found = byJob_.find(job);
    if (found == byJob_.end() || flights_[found->second].job != job
        || flights_[found->second].isOver)
        return;
    const std::size_t index = found->second;
    Flight &flight = flights_[index];
    if (!mayHaveRun || flight.isReading)
        return refused(index, mayHaveRun ? EngineRefusal::Gone : EngineRefusal::Changing);
    const std::string &engine = flight.choice->engine->entry.id;
    instanceOf(index).health.record(engine, AttemptSign::Broken, now());
    flight.tried.insert(engine);
    settle(index);
    ++flight.sends;
    flight.mayHaveRun = true;
    if (!kindOf(index).canResume)
        return giveUp(index);
    dispatch(index);
}

void LoadRun::settle(std::size_t index)
{
    Flight &flight = flights_[index];
    takeBack(index);
    if (!flight.choice)
        return;
    fleet_.cancel(flight.choice->engine->entry.id, flight.job);
    if (flight.choice->prefill)
        fleet_.cancel(flight.choice->prefill->entry.id, flight.job);
    instanceOf(index).placement->finished(*flight.choice, flight.isPromptRead, now());
    byJob_.erase(flight.job);
    flight.job = 0;
}

void LoadRun::giveUp(std::size_t index)
{
    const Flight &flight = flights_[index];
    end(index,
        flight.mayHaveRun || flight.eventsGot > 0 ? LoadEnding::Failed : LoadEnding::Refused);
}

void LoadRun::end(std::size_t index, LoadEnding ending)
{
    releaseHeld(index);
    flights_[index].isOver = true;
    flights_[index].choice.reset();
    records_[index].ending = ending;
    records_[index].endedAt = queue_.now();
}

} // namespace cuminrail::emulation

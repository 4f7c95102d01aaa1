#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

/**
    Interval at which placement of a deferred prompt is tried again: a fraction of the tightest
    latency goal, 400 ms, and as long as an engine takes for two prefill chunks.
*/
constexpr Millis placementRetryInterval = Millis(25);

} // namespace

bool RequestRelay::deferOrReject()
{
    if (!attempt_.choice)
        return false;
    PromptOutlook outlook;
    outlook.waitMillis = attempt_.choice->waitMillis;
    outlook.firstEventMillis = attempt_.choice->firstEventMillis;
    outlook.elapsed = context_.now() - arrivedAt_;
    outlook.goal = route_->goal;
    outlook.callerTimeout = callerTimeout(*route_);
    if (!isDeferred_)
        outlook.queueAge = context_.deferredPrompts.oldestAge(route_->name, context_.now());
    switch (context_.deferral.decide(outlook)) {
    case PromptDecision::Send:
        return false;
    case PromptDecision::Defer:
        deferPrompt(outlook);
        return true;
    case PromptDecision::Refuse:
        break;
    }
    attempt_ = Attempt();
    lastCause_ = GiveUpCause::Overload;
    giveUp(GiveUpCause::Overload, "its caller will have left before an engine can begin with it");
    return true;
}

bool RequestRelay::queryPrefillEstimates()
{
    if (context_.prefillExchange == nullptr || !attempt_.choice || !attempt_.choice->prefill)
        return false;
    const std::size_t maxEngines =
        context_.settings.decisions.booksAskedFor(attempt_.choice->freshTokens);
    if (maxEngines == 0)
        return false;
    hasQueriedEstimates_ = true;
    const auto engines =
        context_.engines.rankPrefillEngines(candidates(), placementQuery(), maxEngines);
    std::vector<EngineKey> keys;
    keys.reserve(engines.size());
    for (const UpstreamPointer &engine : engines)
        keys.push_back(engineKey(*engine));
    attempt_ = Attempt();
    context_.prefillExchange->query(
        PromptChain::of(*inbound_.prompt), keys,
        awaitStep(RequestStep::PrefillEstimates,
                  [this, engines](const PrefillExchange::Estimates &estimates) {
                      onPrefillEstimates(engines, estimates);
                  }));
    return true;
}

void RequestRelay::onPrefillEstimates(const std::vector<UpstreamPointer> &engines,
                                      const PrefillExchange::Estimates &estimates)
{
    for (const UpstreamPointer &engine : engines) {
        const auto estimate = estimates.find(engineKey(*engine));
        if (estimate == estimates.end())
            continue;
        prefillEstimates_[engine->entry.id] = estimate->second;
        context_.engines.setReportedWait(engine->entry.id, estimate->second.waitMillis,
                                         context_.now());
    }
    const bool isChosen = choose();
    prefillEstimates_.clear();
    if (!isChosen && requestCredit())
        return;
    if (!isChosen)
        return giveUpWithLastCause();
    if (!deferOrReject())
        sendChosen();
}

void RequestRelay::deferPrompt(const PromptOutlook &outlook)
{
    if (!wasDeferred_) {
        wasDeferred_ = true;
        ++context_.counters.deferred;
        const auto text = [](double millis) {
            return std::to_string(static_cast<std::int64_t>(millis));
        };
        context_.events(Event{&events::requestHeld,
                              {{"request", inbound_.id},
                               {"route", route_->name},
                               {"customer", customer_},
                               {"elapsed_ms", std::to_string(outlook.elapsed.count())},
                               {"wait_ms", text(outlook.waitMillis)},
                               {"first_event_ms", text(outlook.firstEventMillis)},
                               {"goal_ms", std::to_string(outlook.goal.count())}}});
    }
    if (!isDeferred_)
        context_.deferredPrompts.add(route_->name, arrivedAt_);
    isDeferred_ = true;
    attempt_ = Attempt();
    dispatchAfter(placementRetryInterval);
}

void RequestRelay::leaveDeferredQueue()
{
    if (isDeferred_)
        context_.deferredPrompts.remove(route_->name, arrivedAt_);
    isDeferred_ = false;
}

} // namespace cuminrail

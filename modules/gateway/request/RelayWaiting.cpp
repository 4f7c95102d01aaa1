#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

/**
    How often a prompt that is kept back looks for room: a fraction of the tightest goal of present
    routes, 400 ms, and as long as an engine takes for two chunks.
*/
constexpr Millis lookAgainAfter = Millis(25);

} // namespace

bool RequestRelay::isKeptBack()
{
    if (!attempt_.choice)
        return false;
    PromptOutlook outlook;
    outlook.waitMillis = attempt_.choice->waitMillis;
    outlook.firstEventMillis = attempt_.choice->firstEventMillis;
    outlook.elapsed = context_.now() - arrivedAt_;
    outlook.goal = route_->goal;
    outlook.patience = callerPatience(*route_);
    if (!isHeld_)
        outlook.queueAge = context_.held.oldestAge(route_->name, context_.now());
    switch (context_.deferral.decide(outlook)) {
    case PromptDecision::Send:
        return false;
    case PromptDecision::Hold:
        hold(outlook);
        return true;
    case PromptDecision::Refuse:
        break;
    }
    attempt_ = Attempt();
    lastCause_ = GiveUpCause::Overload;
    giveUp(GiveUpCause::Overload, "its caller will have left before an engine can begin with it");
    return true;
}

bool RequestRelay::asksBooks()
{
    if (context_.books == nullptr || !attempt_.choice || !attempt_.choice->prefill)
        return false;
    const std::size_t asked =
        context_.settings.decisions.booksAskedFor(attempt_.choice->freshTokens);
    if (asked == 0)
        return false;
    wasAsked_ = true;
    const auto readers = context_.engines.likelyReaders(candidates(), placementQuery(), asked);
    std::vector<EngineKey> keys;
    keys.reserve(readers.size());
    for (const UpstreamPointer &reader : readers)
        keys.push_back(engineKey(*reader));
    attempt_ = Attempt();
    context_.books->ask(PromptChain::of(*inbound_.prompt), keys,
                        [self = shared_from_this(), readers](const BookExchange::Offers &offers) {
                            if (!self->isOver_)
                                self->booksAnswered(readers, offers);
                        });
    return true;
}

void RequestRelay::booksAnswered(const std::vector<UpstreamPointer> &readers,
                                 const BookExchange::Offers &offers)
{
    for (const UpstreamPointer &reader : readers) {
        const auto offer = offers.find(engineKey(*reader));
        if (offer == offers.end())
            continue;
        offers_[reader->entry.id] = offer->second;
        context_.engines.told(reader->entry.id, offer->second.waitMillis, context_.now());
    }
    const bool isChosen = choose();
    offers_.clear();
    if (!isChosen && waitsForCredit())
        return;
    if (!isChosen)
        return giveUpAsBefore();
    if (!isKeptBack())
        sendChosen();
}

void RequestRelay::hold(const PromptOutlook &outlook)
{
    if (!wasHeld_) {
        wasHeld_ = true;
        ++context_.counters.held;
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
    if (!isHeld_)
        context_.held.add(route_->name, arrivedAt_);
    isHeld_ = true;
    attempt_ = Attempt();
    heldLook_.setAfter(lookAgainAfter);
}

void RequestRelay::releaseHeld()
{
    if (isHeld_)
        context_.held.remove(route_->name, arrivedAt_);
    isHeld_ = false;
}

} // namespace cuminrail

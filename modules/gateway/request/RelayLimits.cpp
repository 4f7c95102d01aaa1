#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Upstreams that a request asks for credits, one after the other, before it is refused. */
constexpr int mostCreditsAsked = 4;

} // namespace

void RequestRelay::noteLimit(const UpstreamEntry &upstream)
{
    const std::optional<double> &limit = attempt_.traits.mostPerSecond;
    if (context_.limits->heard(upstream.life(), limit) != LimitChange::Marked)
        return;
    context_.events(Event{
        &events::upstreamLimited,
        {{"upstream", upstream.id}, {"per_second", limit ? std::to_string(*limit) : "none"}}});
}

const std::vector<UpstreamPointer> &RequestRelay::candidates()
{
    const auto &usable = context_.directory.usable(service_);
    LimitExchange &limits = *context_.limits;
    if (!limits.hasLimits())
        return usable;
    candidates_.clear();
    std::vector<UpstreamLife> limited;
    for (const UpstreamPointer &upstream : usable) {
        if (limits.mayUse(upstream->entry.life()))
            candidates_.push_back(upstream);
        else
            limited.push_back(upstream->entry.life());
    }
    limits.askAhead(limited);
    return candidates_;
}

bool RequestRelay::waitsForCredit()
{
    LimitExchange &limits = *context_.limits;
    if (!limits.hasLimits() || creditsAsked_++ >= mostCreditsAsked)
        return false;
    std::vector<UpstreamPointer> open;
    for (const UpstreamPointer &upstream : context_.directory.usable(service_)) {
        if (const auto room = limits.roomAfter(upstream->entry.life()))
            noteNoRoom(*room);
        else
            open.push_back(upstream);
    }
    if (!chooseAmong(open))
        return false;
    // The engine that generates decides; without a credit for the reader it reads by itself.
    const UpstreamLife life = attempt_.upstream->entry.life();
    attempt_ = Attempt();
    limits.ask(life, [self = shared_from_this()](const CreditAnswer &answer) {
        if (!self->isOver_)
            self->creditAnswered(answer);
    });
    return true;
}

void RequestRelay::noteNoRoom(Millis roomAfter)
{
    lastCause_ = GiveUpCause::UpstreamLimit;
    lastProblem_ = "the upstreams take no more requests at the moment";
    limitComeBack_ = std::min(limitComeBack_, roomAfter);
}

void RequestRelay::creditAnswered(const CreditAnswer &answer)
{
    if (!answer.isGranted)
        noteNoRoom(answer.comeBackAfter);
    if (choose())
        goOn();
    else if (!waitsForCredit())
        giveUpAsBefore();
}

void RequestRelay::useCredits()
{
    if (attempt_.choice && attempt_.choice->prefill)
        context_.limits->use(attempt_.choice->prefill->entry.life());
    context_.limits->use(attempt_.upstream->entry.life());
}

} // namespace cuminrail

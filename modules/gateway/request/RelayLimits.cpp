#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Credit requests, one after the other, before a request is refused. */
constexpr int maxCreditRequests = 4;

} // namespace

std::optional<Millis> RequestRelay::pauseOf(const UpstreamRecord &upstream) const
{
    if (!context_.backoffs.isActive())
        return std::nullopt;
    return context_.backoffs.remaining(upstream.incarnation(), context_.now());
}

const std::vector<UpstreamPointer> &RequestRelay::candidates()
{
    const auto &usable = usableUpstreams();
    LimitExchange &limits = *context_.limits;
    if (!limits.hasLimits() && !context_.backoffs.isActive())
        return usable;
    candidates_.clear();
    std::vector<UpstreamIncarnation> limited;
    for (const UpstreamPointer &upstream : usable) {
        if (pauseOf(*upstream))
            continue;
        if (limits.mayUse(upstream->incarnation()))
            candidates_.push_back(upstream);
        else
            limited.push_back(upstream->incarnation());
    }
    limits.prefetchCredits(limited);
    return candidates_;
}

bool RequestRelay::requestCredit()
{
    LimitExchange &limits = *context_.limits;
    std::vector<UpstreamPointer> available;
    Millis firstPauseEnd = Millis::never();
    for (const UpstreamPointer &upstream : usableUpstreams()) {
        if (const auto pause = pauseOf(*upstream))
            firstPauseEnd = std::min(firstPauseEnd, *pause);
        else if (const auto wait = limits.retryDelay(upstream->incarnation()))
            noteUnavailable(GiveUpCause::UpstreamLimit, *wait);
        else
            available.push_back(upstream);
    }
    if (available.empty() && firstPauseEnd < Millis::never())
        noteUnavailable(GiveUpCause::UpstreamPause, firstPauseEnd);
    if (!limits.hasLimits() || creditRequests_++ >= maxCreditRequests || !chooseAmong(available))
        return false;
    // Only the decode engine's credit is required; without one for the prefill engine, the decode
    // engine does the prefill itself.
    const UpstreamIncarnation incarnation = attempt_.upstream->incarnation();
    attempt_ = Attempt();
    limits.acquire(incarnation,
                   awaitStep(RequestStep::UpstreamCredit,
                             [this](const CreditResult &result) { onCreditResult(result); }));
    return true;
}

void RequestRelay::noteUnavailable(GiveUpCause cause, Millis retryDelay)
{
    lastCause_ = cause;
    lastProblem_ = "the upstreams take no more requests at the moment";
    upstreamRetryAfter_ = std::min(upstreamRetryAfter_, retryDelay);
}

void RequestRelay::onCreditResult(const CreditResult &result)
{
    if (!result.isGranted)
        noteUnavailable(GiveUpCause::UpstreamLimit, result.retryAfter);
    if (choose())
        deferOrSend();
    else if (!requestCredit())
        giveUpWithLastCause();
}

void RequestRelay::consumeCredits()
{
    if (attempt_.choice && attempt_.choice->prefill)
        context_.limits->use(attempt_.choice->prefill->incarnation());
    context_.limits->use(attempt_.upstream->incarnation());
}

} // namespace cuminrail

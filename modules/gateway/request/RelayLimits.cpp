#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Credit requests, one after the other, before a request is refused. */
constexpr int maxCreditRequests = 4;

} // namespace

const std::vector<UpstreamPointer> &RequestRelay::candidates()
{
    const auto &usable = context_.directory.usable(service_);
    LimitExchange &limits = *context_.limits;
    if (!limits.hasLimits())
        return usable;
    candidates_.clear();
    std::vector<UpstreamIncarnation> limited;
    for (const UpstreamPointer &upstream : usable) {
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
    if (!limits.hasLimits() || creditRequests_++ >= maxCreditRequests)
        return false;
    std::vector<UpstreamPointer> available;
    for (const UpstreamPointer &upstream : context_.directory.usable(service_)) {
        if (const auto wait = limits.retryDelay(upstream->incarnation()))
            noteLimitReached(*wait);
        else
            available.push_back(upstream);
    }
    if (!chooseAmong(available))
        return false;
    // Only the decode engine's credit is required; without one for the prefill engine, the decode
    // engine does the prefill itself.
    const UpstreamIncarnation incarnation = attempt_.upstream->incarnation();
    attempt_ = Attempt();
    limits.acquire(incarnation, [self = shared_from_this()](const CreditResult &result) {
        if (!self->hasEnded_)
            self->onCreditResult(result);
    });
    return true;
}

void RequestRelay::noteLimitReached(Millis retryDelay)
{
    lastCause_ = GiveUpCause::UpstreamLimit;
    lastProblem_ = "the upstreams take no more requests at the moment";
    limitRetryAfter_ = std::min(limitRetryAfter_, retryDelay);
}

void RequestRelay::onCreditResult(const CreditResult &result)
{
    if (!result.isGranted)
        noteLimitReached(result.retryAfter);
    if (choose())
        deferOrSend();
    else if (!requestCredit())
        giveUpWithLastCause();
}

void RequestRelay::consumeCredits()
{
    if (attempt_.choice && attempt_.choice->prefill)
        context_.limits->use(attempt_.choice->prefill->entry.incarnation());
    context_.limits->use(attempt_.upstream->incarnation());
}

} // namespace cuminrail

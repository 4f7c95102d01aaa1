#include "admission/limits/CustomerLimiter.h"

#include <algorithm>

namespace cuminrail {

void CustomerLimiter::configure(const CustomerLimits &limits, Millis burst, Millis now)
{
    const bool newRate = customerLimits_.requestsPerSecond <= 0 && limits.requestsPerSecond > 0;
    const bool newTokens = customerLimits_.tokensPerSecond <= 0 && limits.tokensPerSecond > 0;
    customerLimits_ = limits;
    burst_ = burst;
    if (!hasLocalShare_) {
        share_ = {limits.requestsPerSecond, static_cast<double>(limits.concurrentRequests),
                  limits.tokensPerSecond};
    }
    apply(now);
    if (newRate)
        requests_.fill();
    if (newTokens)
        tokens_.fill();
}

void CustomerLimiter::setShare(const LocalShare &share, Millis now)
{
    hasLocalShare_ = true;
    share_ = share;
    apply(now);
}

void CustomerLimiter::apply(Millis now)
{
    const double seconds = burst_.toSeconds();
    const double requestBurst =
        share_.requestsPerSecond > 0 ? std::max(1.0, share_.requestsPerSecond * seconds) : 0;
    requests_.configure(share_.requestsPerSecond, requestBurst, now);
    tokens_.configure(share_.tokensPerSecond, share_.tokensPerSecond * seconds, now);
}

std::optional<RefusalCode> CustomerLimiter::exceededLimit(Millis now)
{
    if (customerLimits_.concurrentRequests > 0 && running_ + 1 > share_.concurrentRequests)
        return RefusalCode::ConcurrencyLimited;
    // Requires credit for a whole request: fractions at many instances would add up to a burst.
    if (customerLimits_.requestsPerSecond > 0 && requests_.level(now) < 1)
        return RefusalCode::RateLimited;
    if (customerLimits_.tokensPerSecond > 0 && !tokens_.isReady(now))
        return RefusalCode::RateLimited;
    return std::nullopt;
}

void CustomerLimiter::started(double tokens)
{
    ++running_;
    requests_.draw(1);
    tokens_.draw(tokens);
}

void CustomerLimiter::finished(double extraTokens)
{
    --running_;
    tokens_.draw(extraTokens);
}

Millis CustomerLimiter::wait(double requestsAhead, double tokensAhead, Millis now)
{
    Millis longest;
    if (customerLimits_.requestsPerSecond > 0)
        longest = std::max(longest, requests_.wait(requestsAhead + 1, now));
    if (customerLimits_.tokensPerSecond > 0)
        longest = std::max(longest, tokens_.wait(tokensAhead, now));
    return longest;
}

LocalShare CustomerLimiter::takeCredit(const LocalShare &wanted, Millis now)
{
    LocalShare removed;
    removed.requestsPerSecond =
        std::clamp(requests_.level(now), 0.0, std::max(0.0, wanted.requestsPerSecond));
    removed.tokensPerSecond =
        std::clamp(tokens_.level(now), 0.0, std::max(0.0, wanted.tokensPerSecond));
    requests_.draw(removed.requestsPerSecond);
    tokens_.draw(removed.tokensPerSecond);
    return removed;
}

void CustomerLimiter::addCredit(const LocalShare &credit, Millis now)
{
    requests_.level(now);
    tokens_.level(now);
    requests_.add(credit.requestsPerSecond);
    tokens_.add(credit.tokensPerSecond);
}

} // namespace cuminrail

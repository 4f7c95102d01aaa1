#include "admission/limits/CustomerLimiter.h"

#include <algorithm>

namespace cuminrail {

void CustomerLimiter::configure(const CustomerLimits &whole, Millis burst, Millis now)
{
    const bool newRate = whole_.requestsPerSecond <= 0 && whole.requestsPerSecond > 0;
    const bool newTokens = whole_.tokensPerSecond <= 0 && whole.tokensPerSecond > 0;
    whole_ = whole;
    burst_ = burst;
    if (!shared_) {
        share_ = {whole.requestsPerSecond, static_cast<double>(whole.concurrentRequests),
                  whole.tokensPerSecond};
    }
    apply(now);
    if (newRate)
        requests_.fill();
    if (newTokens)
        tokens_.fill();
}

void CustomerLimiter::setShare(const LocalShare &share, Millis now)
{
    shared_ = true;
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

std::optional<RefusalCode> CustomerLimiter::heldBackBy(Millis now)
{
    if (whole_.concurrentRequests > 0 && running_ + 1 > share_.concurrentRequests)
        return RefusalCode::ConcurrencyLimited;
    // A whole request must be there: fractions at many instances would add up to a burst.
    if (whole_.requestsPerSecond > 0 && requests_.level(now) < 1)
        return RefusalCode::RateLimited;
    if (whole_.tokensPerSecond > 0 && !tokens_.isReady(now))
        return RefusalCode::RateLimited;
    return std::nullopt;
}

void CustomerLimiter::started(double tokens)
{
    ++running_;
    requests_.draw(1);
    tokens_.draw(tokens);
}

void CustomerLimiter::finished(double tokensMore)
{
    --running_;
    tokens_.draw(tokensMore);
}

Millis CustomerLimiter::wait(double ahead, double tokensAhead, Millis now)
{
    Millis longest;
    if (whole_.requestsPerSecond > 0)
        longest = std::max(longest, requests_.wait(ahead + 1, now));
    if (whole_.tokensPerSecond > 0)
        longest = std::max(longest, tokens_.wait(tokensAhead, now));
    return longest;
}

LocalShare CustomerLimiter::takeCredit(const LocalShare &wanted, Millis now)
{
    LocalShare taken;
    taken.requestsPerSecond =
        std::clamp(requests_.level(now), 0.0, std::max(0.0, wanted.requestsPerSecond));
    taken.tokensPerSecond =
        std::clamp(tokens_.level(now), 0.0, std::max(0.0, wanted.tokensPerSecond));
    requests_.draw(taken.requestsPerSecond);
    tokens_.draw(taken.tokensPerSecond);
    return taken;
}

void CustomerLimiter::addCredit(const LocalShare &credit, Millis now)
{
    requests_.level(now);
    tokens_.level(now);
    requests_.add(credit.requestsPerSecond);
    tokens_.add(credit.tokensPerSecond);
}

} // namespace cuminrail

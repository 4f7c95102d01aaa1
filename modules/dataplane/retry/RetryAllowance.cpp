#include "dataplane/retry/RetryAllowance.h"

#include "core/hash/StableHash.h"

namespace cuminrail {

namespace {

/** Part of a share below one retry that is used: twice the safety factor times this is below 1. */
constexpr double fractionUsed = 0.8;

} // namespace

void RetryAllowance::expire(Window &window, Millis now) const
{
    for (std::deque<Millis> *times : {&window.firstAttempts, &window.retries}) {
        while (!times->empty() && now - times->front() > bounds_.window)
            times->pop_front();
    }
}

void RetryAllowance::recordFirstAttempt(const std::string &service, Millis now)
{
    Window &window = windows_[service];
    expire(window, now);
    window.firstAttempts.push_back(now);
}

std::size_t RetryAllowance::retriesOf(double share, const std::string &service, Millis now) const
{
    if (share >= 1)
        return static_cast<std::size_t>(share);
    const auto windowNumber = static_cast<std::uint64_t>(now.count() / bounds_.window.count());
    const std::uint64_t hash = StableHash().add(spreadKey_).add(service).add(windowNumber).value();
    constexpr double hashRange = 18446744073709551616.0;
    // Any span as long as a window touches two of them, in both of which the instances differ.
    return static_cast<double>(hash) / hashRange < fractionUsed * share ? 1 : 0;
}

bool RetryAllowance::tryAcquireRetry(const std::string &service, Millis now)
{
    Window &window = windows_[service];
    expire(window, now);
    const double ratioAllowance = bounds_.ratio * static_cast<double>(window.firstAttempts.size());
    const double extraShare = bounds_.extra / static_cast<double>(instances_);
    const double share = safety * (ratioAllowance + extraShare);
    if (window.retries.size() >= retriesOf(share, service, now))
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace cuminrail

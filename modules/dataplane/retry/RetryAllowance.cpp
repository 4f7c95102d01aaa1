#include "dataplane/retry/RetryAllowance.h"

namespace cuminrail {

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

bool RetryAllowance::tryAcquireRetry(const std::string &service, Millis now)
{
    Window &window = windows_[service];
    expire(window, now);
    const double ratioAllowance = bounds_.ratio * static_cast<double>(window.firstAttempts.size());
    const double extraShare = bounds_.extra / static_cast<double>(instances_);
    if (static_cast<double>(window.retries.size()) + 1 > safety * (ratioAllowance + extraShare))
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace cuminrail

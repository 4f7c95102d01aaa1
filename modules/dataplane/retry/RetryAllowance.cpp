#include "dataplane/retry/RetryAllowance.h"

namespace cuminrail {

void RetryAllowance::expire(Window &window, Millis now) const
{
    for (std::deque<Millis> *times : {&window.firsts, &window.repeats}) {
        while (!times->empty() && now - times->front() > bounds_.window)
            times->pop_front();
    }
}

void RetryAllowance::countFirst(const std::string &service, Millis now)
{
    Window &window = windows_[service];
    expire(window, now);
    window.firsts.push_back(now);
}

bool RetryAllowance::takeRepeat(const std::string &service, Millis now)
{
    Window &window = windows_[service];
    expire(window, now);
    const double byRatio = bounds_.ratio * static_cast<double>(window.firsts.size());
    const double share = bounds_.extra / static_cast<double>(instances_);
    if (static_cast<double>(window.repeats.size()) + 1 > safety * (byRatio + share))
        return false;
    window.repeats.push_back(now);
    return true;
}

} // namespace cuminrail

#include "dispatch/retry/RetryBudget.h"

#include <algorithm>

namespace cuminrail {

RetryBudget::RetryBudget(std::int64_t retriesPerHundred, std::int64_t reserve)
    : creditPerAttempt_(retriesPerHundred), maxCredit_(reserve * creditPerRetry),
      credit_(reserve * creditPerRetry)
{ }

void RetryBudget::countFirstAttempt()
{
    std::int64_t current = credit_.load(std::memory_order_relaxed);
    while (current < maxCredit_) {
        const std::int64_t next = std::min(maxCredit_, current + creditPerAttempt_);
        if (credit_.compare_exchange_weak(current, next, std::memory_order_relaxed))
            return;
    }
}

bool RetryBudget::tryAcquireRetry()
{
    std::int64_t current = credit_.load(std::memory_order_relaxed);
    while (current >= creditPerRetry) {
        if (credit_.compare_exchange_weak(current, current - creditPerRetry,
                                          std::memory_order_relaxed))
            return true;
    }
    return false;
}

std::int64_t RetryBudget::available() const
{
    return credit_.load(std::memory_order_relaxed) / creditPerRetry;
}

} // namespace cuminrail

#include "dispatch/retry/RetryBudget.h"

#include <algorithm>

namespace cuminrail {

RetryBudget::RetryBudget(std::int64_t retriesPerHundred, std::int64_t reserve)
    : earnedPerAttempt_(retriesPerHundred), ceiling_(reserve * unitsPerRetry),
      units_(reserve * unitsPerRetry)
{ }

void RetryBudget::countFirstAttempt()
{
    std::int64_t current = units_.load(std::memory_order_relaxed);
    while (current < ceiling_) {
        const std::int64_t next = std::min(ceiling_, current + earnedPerAttempt_);
        if (units_.compare_exchange_weak(current, next, std::memory_order_relaxed))
            return;
    }
}

bool RetryBudget::tryTakeRetry()
{
    std::int64_t current = units_.load(std::memory_order_relaxed);
    while (current >= unitsPerRetry) {
        if (units_.compare_exchange_weak(current, current - unitsPerRetry,
                                         std::memory_order_relaxed))
            return true;
    }
    return false;
}

std::int64_t RetryBudget::available() const
{
    return units_.load(std::memory_order_relaxed) / unitsPerRetry;
}

} // namespace cuminrail

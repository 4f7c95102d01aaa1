#pragma once

#include "core/time/Millis.h"

#include <atomic>
#include <cstdint>

namespace cuminrail {

/**
    Limits the retries that an instance adds to the load, over all its requests.

    When upstreams are overloaded, every request fails and would be retried: the load doubles or
    triples exactly when there is no capacity for it. Each first attempt earns a fraction of a
    retry, each retry spends a whole one, so retries stay a fixed share of the load.

    Thread-safe.
*/
class RetryBudget
{
public:
    /**
        @param retriesPerHundred retries earned by a hundred first attempts
        @param reserve retries that an idle instance may spend at once
    */
    explicit RetryBudget(std::int64_t retriesPerHundred = 10, std::int64_t reserve = 10);

    /** Counts a first attempt. */
    void countFirstAttempt();

    /** Takes one retry out of the budget. Returns false when none remains. */
    bool tryAcquireRetry();

    /** Returns the number of whole retries that remain. */
    std::int64_t available() const;

private:
    /**
        The balance is counted in hundredths of a retry so that a first attempt earns a whole
        number.
    */
    static constexpr std::int64_t creditPerRetry = 100;

    const std::int64_t creditPerAttempt_;
    const std::int64_t maxCredit_;
    std::atomic<std::int64_t> credit_;
};

} // namespace cuminrail

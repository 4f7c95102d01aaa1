#pragma once

#include "core/time/Millis.h"

#include <atomic>
#include <cstdint>

namespace cuminrail {

/**
    Bounds how many retries an instance adds to the load, over all its requests.

    When upstreams are overloaded, every request fails and every request would be retried: the
    load doubles or trebles exactly when there is no room for it. Each first attempt earns a
    fraction of a retry, each retry spends a whole one, so retries stay a fixed share of the load.

    Safe to call from all request threads.
*/
class RetryBudget
{
public:
    /**
        @param retriesPerHundred retries earned by a hundred first attempts.
        @param reserve           retries that an idle instance may spend at once.
    */
    explicit RetryBudget(std::int64_t retriesPerHundred = 10, std::int64_t reserve = 10);

    /** Counts a first attempt. */
    void countFirstAttempt();

    /** Takes one retry out of the budget. Returns false when there is none left. */
    bool tryTakeRetry();

    /** Returns the number of whole retries left. */
    std::int64_t available() const;

private:
    /** The balance is kept in hundredths of a retry so that a first attempt earns a whole number.
     */
    static constexpr std::int64_t unitsPerRetry = 100;

    const std::int64_t earnedPerAttempt_;
    const std::int64_t ceiling_;
    std::atomic<std::int64_t> units_;
};

} // namespace cuminrail

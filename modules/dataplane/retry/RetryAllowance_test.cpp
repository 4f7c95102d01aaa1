#include <doctest/doctest.h>

#include "dataplane/retry/RetryAllowance.h"

#include <vector>

using namespace cuminrail;

// Guards against retry storms: upstreams fail under overload, each instance retries what failed,
// and the load doubles where it is already too high. The whole service fails instead of a part of
// it.
TEST_CASE("retries of all instances together stay within the system's ratio, however many fail")
{
    constexpr std::size_t instances = 6;
    constexpr RetryBounds bounds{0.2, Millis(10000), 52};
    std::vector<RetryAllowance> allowances(instances, RetryAllowance(bounds));
    for (RetryAllowance &allowance : allowances)
        allowance.setInstances(instances);
    std::size_t firstAttempts = 0;
    std::size_t retries = 0;
    for (int request = 0; request < 1200; ++request) {
        RetryAllowance &allowance = allowances[static_cast<std::size_t>(request) % instances];
        allowance.recordFirstAttempt("s", Millis(request * 8));
        ++firstAttempts;
        while (allowance.tryAcquireRetry("s", Millis(request * 8)))
            ++retries;
    }
    CHECK(static_cast<double>(retries) <= 0.2 * static_cast<double>(firstAttempts) + 52);
    CHECK(retries > 100);
}

// Guards against a service that can never retry again after a burst of failures, or that uses up
// the retries of another service.
TEST_CASE("retries are available again when the window has passed, separately for each service")
{
    RetryAllowance allowance({0.0, Millis(10000), 10});
    allowance.setInstances(1);
    int acquired = 0;
    while (allowance.tryAcquireRetry("s", Millis(0)))
        ++acquired;
    CHECK(acquired == 6);
    CHECK(allowance.tryAcquireRetry("other", Millis(0)));
    CHECK_FALSE(allowance.tryAcquireRetry("s", Millis(10000)));
    CHECK(allowance.tryAcquireRetry("s", Millis(10001)));
}

// Guards against each instance taking the whole fixed part of the limit after a start, before it
// knows how many instances share it.
TEST_CASE("an instance that does not know the number of instances assumes many")
{
    RetryAllowance allowance({0.0, Millis(10000), 52});
    int acquired = 0;
    while (allowance.tryAcquireRetry("s", Millis(0)))
        ++acquired;
    CHECK(acquired == 1);
}

// Guards against a thousand instances that may not retry at all, since the share of each is less
// than one retry, while the system's limit is hardly used.
TEST_CASE("shares below one retry add up to the system's limit, in any window and not beyond")
{
    struct Row
    {
        std::size_t instances;
        double extra;
    };
    constexpr Millis window(10000);
    for (const Row &row : {Row{1000, 1040}, Row{2000, 1040}, Row{2000, 200}}) {
        CAPTURE(row.instances);
        std::vector<RetryAllowance> allowances;
        for (std::size_t i = 0; i < row.instances; ++i) {
            allowances.emplace_back(RetryBounds{0.2, window, row.extra}, i);
            allowances.back().setInstances(row.instances);
        }
        std::vector<std::size_t> retries;
        constexpr int steps = 40;
        for (int step = 0; step < steps; ++step) {
            // All requests fail at every instance, at all times.
            std::size_t acquired = 0;
            for (RetryAllowance &allowance : allowances)
                acquired += allowance.tryAcquireRetry("s", window * step / 4) ? 1 : 0;
            retries.push_back(acquired);
        }
        std::size_t all = 0;
        for (std::size_t i = 3; i < retries.size(); ++i) {
            const std::size_t inWindow =
                retries[i] + retries[i - 1] + retries[i - 2] + retries[i - 3];
            CHECK(static_cast<double>(inWindow) <= row.extra);
            all += inWindow;
        }
        const double mean = static_cast<double>(all) / static_cast<double>(retries.size() - 3);
        CHECK(mean >= RetryAllowance::safety * row.extra / 2);
    }
}

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

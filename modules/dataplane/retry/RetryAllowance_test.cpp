#include <doctest/doctest.h>

#include "dataplane/retry/RetryAllowance.h"

#include <vector>

using namespace cuminrail;

// Upstreams fail under overload, each instance sends what failed once more, and the load doubles
// where it is too high already. Callers see the whole service fail instead of a part.
TEST_CASE("however many requests fail, all instances together stay within the system's ratio")
{
    constexpr std::size_t instances = 6;
    constexpr RetryBounds bounds{0.2, Millis(10000), 52};
    std::vector<RetryAllowance> allowances(instances, RetryAllowance(bounds));
    for (RetryAllowance &allowance : allowances)
        allowance.setInstances(instances);
    std::size_t firsts = 0;
    std::size_t repeats = 0;
    for (int request = 0; request < 1200; ++request) {
        RetryAllowance &allowance = allowances[static_cast<std::size_t>(request) % instances];
        allowance.countFirst("s", Millis(request * 8));
        ++firsts;
        while (allowance.takeRepeat("s", Millis(request * 8)))
            ++repeats;
    }
    CHECK(static_cast<double>(repeats) <= 0.2 * static_cast<double>(firsts) + 52);
    CHECK(repeats > 100);
}

TEST_CASE("what was taken comes back with the window, for each service by itself")
{
    RetryAllowance allowance({0.0, Millis(10000), 10});
    allowance.setInstances(1);
    int taken = 0;
    while (allowance.takeRepeat("s", Millis(0)))
        ++taken;
    CHECK(taken == 6);
    CHECK(allowance.takeRepeat("other", Millis(0)));
    CHECK_FALSE(allowance.takeRepeat("s", Millis(10000)));
    CHECK(allowance.takeRepeat("s", Millis(10001)));
}

TEST_CASE("an instance that knows of no others assumes many")
{
    RetryAllowance allowance({0.0, Millis(10000), 52});
    int taken = 0;
    while (allowance.takeRepeat("s", Millis(0)))
        ++taken;
    CHECK(taken == 1);
}

#include "admission/queue/WindowController.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

/** Records ten seconds of samples, each this share of its target. */
void feed(WindowController &window, double share, bool windowFull, Millis from)
{
    for (int i = 0; i < 1000; ++i) {
        if (windowFull)
            window.recordFullWindow();
        window.recordFirstToken({share, 1}, from + Millis(i * 10));
    }
}

} // namespace

TEST_CASE("the window shrinks while requests are late at the engines, and recovers")
{
    // Engines slow down, which only the latencies show. Requests already sent there can no longer
    // be refused, so callers would get late responses.
    WindowController window;
    feed(window, 1.5, true, Millis::seconds(1));
    const double slow = window.factor();
    CHECK(slow < 0.5);
    feed(window, 0.5, true, Millis::seconds(20));
    CHECK(window.factor() > 2 * slow);
}

TEST_CASE("the window does not grow while no request is queued")
{
    // A window that grew on low load would admit far too much in the next burst.
    WindowController window;
    feed(window, 0.5, false, Millis::seconds(1));
    CHECK(window.factor() == doctest::Approx(1));
}

TEST_CASE("slow token generation shrinks the window too")
{
    // Overload in decode shows as slow tokens, not as late first tokens.
    WindowController window;
    for (int i = 0; i < 1000; ++i)
        window.recordTokenTime({0.08, 0.051}, Millis::seconds(1) + Millis(i * 10));
    CHECK(window.factor() < 0.5);
}

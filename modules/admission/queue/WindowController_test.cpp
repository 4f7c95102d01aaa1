#include "admission/queue/WindowController.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

/** Feeds ten seconds of samples that take this share of what they may take. */
void feed(WindowController &window, double share, bool heldBack, Millis from)
{
    for (int i = 0; i < 1000; ++i) {
        if (heldBack)
            window.heldBack();
        window.firstToken({share, 1}, from + Millis(i * 10));
    }
}

} // namespace

TEST_CASE("a window shrinks while requests are late at the engines, and recovers")
{
    // Engines slow down, and nothing says so but the latencies. Requests already sent there
    // cannot be refused any more; callers would wait and get late answers.
    WindowController window;
    feed(window, 1.5, true, Millis::seconds(1));
    const double slow = window.factor();
    CHECK(slow < 0.5);
    feed(window, 0.5, true, Millis::seconds(20));
    CHECK(window.factor() > 2 * slow);
}

TEST_CASE("a window that holds nobody back does not grow")
{
    WindowController window;
    feed(window, 0.5, false, Millis::seconds(1));
    CHECK(window.factor() == doctest::Approx(1));
}

TEST_CASE("slow tokens shrink the window too")
{
    WindowController window;
    for (int i = 0; i < 1000; ++i)
        window.answer({0.08, 0.051}, Millis::seconds(1) + Millis(i * 10));
    CHECK(window.factor() < 0.5);
}

#include <doctest/doctest.h>

#include "readingbooks/tracker/PrefillTracker.h"

using namespace cuminrail;

namespace {

constexpr PrefillRate rate{50, 100};
/** More tokens than any prompt has: nothing is fetched from another engine. */
constexpr double allTokens = 1e9;

PromptChain chainOf(std::uint64_t shared, std::uint64_t own)
{
    PromptChain chain;
    chain.links = {{shared, 10000}, {own, 2000}};
    chain.tokens = 12000;
    chain.sharedKey = shared;
    return chain;
}

} // namespace

// Guards against an engine that looks idle to one instance while it is busy with prompts of others.
TEST_CASE("the estimated wait covers pending prefills of all instances")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(1000));
    tracker.add({"b", 1}, chainOf(3, 4), allTokens, rate, Millis(1000));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(1000)).waitMillis == doctest::Approx(480));
    // The engine proceeds whether or not it is queried.
    CHECK(tracker.estimate(chainOf(5, 6), Millis(1300)).waitMillis == doctest::Approx(180));
    tracker.complete({"a", 1}, Millis(1340));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(1500)).waitMillis == doctest::Approx(0));
}

// Guards against estimates that count a prompt part again that the engine holds by then.
TEST_CASE("a part that any instance sent there does not count as fresh")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    CHECK(tracker.estimate(chainOf(1, 3), Millis(0)).freshTokens == doctest::Approx(2000));
    CHECK(tracker.estimate(chainOf(7, 3), Millis(0)).freshTokens == doctest::Approx(12000));
}

// Guards against a new tracker that reports parts as missing because it has not seen them yet.
TEST_CASE("a tracker reports cached parts as unknown during its warm-up period")
{
    PrefillTracker tracker;
    CHECK_FALSE(tracker.estimate(chainOf(1, 2), Millis(50000)).knowsParts);
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(50000));
    CHECK_FALSE(tracker.estimate(chainOf(1, 2), Millis(50000) + PrefillTracker::warmUpPeriod / 2)
                    .knowsParts);
    CHECK(tracker.estimate(chainOf(1, 2), Millis(50000) + PrefillTracker::warmUpPeriod).knowsParts);
}

// Guards against a warm-up period for new engines, whose cached parts are known from the start.
TEST_CASE("a tracker that exists since before the engine's first prompt is complete at once")
{
    for (const bool isComplete : {false, true}) {
        CAPTURE(isComplete);
        PrefillTracker tracker(isComplete);
        CHECK(tracker.estimate(chainOf(1, 2), Millis(0)).isComplete == isComplete);
        CHECK_FALSE(tracker.estimate(chainOf(1, 2), Millis(0)).knowsParts);
        CHECK(tracker.estimate(chainOf(1, 2), Millis(0)).freshTokens == doctest::Approx(12000));
    }
}

// Guards against estimates that drift away from an engine that is faster or slower than expected.
TEST_CASE("late or early responses correct the estimated wait")
{
    struct Row
    {
        const char *what;
        int repliedAt;
        double waitMillis;
    };
    // Two prompts of 240 ms each; the first response is due at 340 ms.
    for (const Row &row : {Row{"as estimated", 340, 140}, Row{"100 ms late", 440, 90},
                           Row{"100 ms early", 240, 190}}) {
        CAPTURE(row.what);
        PrefillTracker tracker;
        tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
        tracker.add({"a", 2}, chainOf(3, 4), allTokens, rate, Millis(0));
        tracker.complete({"a", 1}, Millis(row.repliedAt));
        const double wait = tracker.estimate(chainOf(5, 6), Millis(row.repliedAt)).waitMillis;
        CHECK(wait == doctest::Approx(row.waitMillis));
    }
}

// Guards against an engine that dies with pending prompts and looks idle once their estimated ends
// have passed: no response is reported, and it would attract every new prompt.
TEST_CASE("an engine that sends no responses does not look idle")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    CHECK(tracker.estimate(chainOf(3, 4), Millis(2000)).waitMillis > 1500);
}

// Guards against waits that still include aborted prefills.
TEST_CASE("a cancelled prefill is removed from the estimated wait")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    tracker.add({"a", 2}, chainOf(3, 4), allTokens, rate, Millis(0));
    tracker.cancel({"a", 1}, Millis(100));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(100)).waitMillis == doctest::Approx(240));
    // Cancelling it twice, or ending an unknown prefill, has no effect.
    tracker.cancel({"a", 1}, Millis(100));
    tracker.complete({"b", 9}, Millis(100));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(100)).waitMillis == doctest::Approx(240));
}

// Guards against a lost end message that makes an engine look stuck until the entry expires, so
// that all instances avoid a healthy engine for seconds.
TEST_CASE("a response completes all prefills announced before it")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    tracker.add({"b", 1}, chainOf(3, 4), allTokens, rate, Millis(0));
    tracker.complete({"b", 1}, Millis(580));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(3000)).waitMillis == doctest::Approx(0));
    // Prefills announced later count as usual.
    tracker.add({"c", 1}, chainOf(5, 6), allTokens, rate, Millis(3000));
    CHECK(tracker.estimate(chainOf(7, 8), Millis(3000)).waitMillis == doctest::Approx(240));
}

// Guards against an entry that is duplicated in transit and stays counted after it was cancelled.
TEST_CASE("a duplicated entry counts once and is cancelled completely")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    tracker.add({"b", 1}, chainOf(3, 4), allTokens, rate, Millis(0));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(480));
    tracker.cancel({"a", 1}, Millis(0));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(240));
}

// Guards against an entry that counts for ever because its instance died before it was ended.
TEST_CASE("an entry that nobody ends expires")
{
    PrefillTracker tracker;
    tracker.add({"dead", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    const Millis later = PrefillTracker::maxPrefillDuration + Millis(1);
    CHECK(tracker.estimate(chainOf(5, 6), later).waitMillis == doctest::Approx(0));
}

// Guards against a fetch from an engine that has the prompt pending only: other engines can fetch
// only what was prefilled, and would have to prefill the rest again.
TEST_CASE("a part counts as held once its prompt was prefilled")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), allTokens, rate, Millis(0));
    CHECK(tracker.estimate(chainOf(1, 3), Millis(100)).heldTokens == doctest::Approx(0));
    tracker.complete({"a", 1}, Millis(340));
    CHECK(tracker.estimate(chainOf(1, 3), Millis(340)).heldTokens == doctest::Approx(10000));
    CHECK(tracker.estimate(chainOf(4, 3), Millis(340)).heldTokens == doctest::Approx(0));
}

// Guards against estimates that count parts which the engine fetches from another one.
TEST_CASE("tokens fetched from another engine take no prefill time")
{
    PrefillTracker tracker;
    tracker.add({"a", 1}, chainOf(1, 2), 2000, rate, Millis(0));
    CHECK(tracker.estimate(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(40));
}

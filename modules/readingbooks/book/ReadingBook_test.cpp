#include <doctest/doctest.h>

#include "readingbooks/book/ReadingBook.h"

using namespace cuminrail;

namespace {

constexpr ReadingPace speed{50, 100};
/** More than any prompt has: nothing is fetched from another engine. */
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

TEST_CASE("a prompt waits for what all instances have sent before")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(1000));
    tracker.enter({"b", 1}, chainOf(3, 4), allTokens, speed, Millis(1000));
    CHECK(tracker.offer(chainOf(5, 6), Millis(1000)).waitMillis == doctest::Approx(480));
    // The engine reads on whether anybody asks or not.
    CHECK(tracker.offer(chainOf(5, 6), Millis(1300)).waitMillis == doctest::Approx(180));
    tracker.read({"a", 1}, Millis(1340));
    CHECK(tracker.offer(chainOf(5, 6), Millis(1500)).waitMillis == doctest::Approx(0));
}

TEST_CASE("a part that any instance sent there is not read again")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    CHECK(tracker.offer(chainOf(1, 3), Millis(0)).freshTokens == doctest::Approx(2000));
    CHECK(tracker.offer(chainOf(7, 3), Millis(0)).freshTokens == doctest::Approx(12000));
}

TEST_CASE("a young book does not claim to know the engine's parts")
{
    ReadingBook tracker;
    CHECK_FALSE(tracker.offer(chainOf(1, 2), Millis(50000)).knowsParts);
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(50000));
    CHECK_FALSE(
        tracker.offer(chainOf(1, 2), Millis(50000) + ReadingBook::warmUpPeriod / 2).knowsParts);
    CHECK(tracker.offer(chainOf(1, 2), Millis(50000) + ReadingBook::warmUpPeriod).knowsParts);
}

TEST_CASE("a book from before the engine's first prompt is complete at once")
{
    for (const bool isComplete : {false, true}) {
        CAPTURE(isComplete);
        ReadingBook tracker(isComplete);
        CHECK(tracker.offer(chainOf(1, 2), Millis(0)).isComplete == isComplete);
        CHECK_FALSE(tracker.offer(chainOf(1, 2), Millis(0)).knowsParts);
        CHECK(tracker.offer(chainOf(1, 2), Millis(0)).freshTokens == doctest::Approx(12000));
    }
}

TEST_CASE("answers correct when the engine will be free")
{
    struct Row
    {
        const char *what;
        int repliedAt;
        double waitMillis;
    };
    // Two prompts of 240 ms each; the first answer is due at 340.
    for (const Row &row : {Row{"as foreseen", 340, 140}, Row{"100 ms late", 440, 90},
                           Row{"100 ms early", 240, 190}}) {
        CAPTURE(row.what);
        ReadingBook tracker;
        tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
        tracker.enter({"a", 2}, chainOf(3, 4), allTokens, speed, Millis(0));
        tracker.read({"a", 1}, Millis(row.repliedAt));
        const double wait = tracker.offer(chainOf(5, 6), Millis(row.repliedAt)).waitMillis;
        CHECK(wait == doctest::Approx(row.waitMillis));
    }
}

// An engine dies with prompts in it. Nobody answers, so nobody tells the book; by the plan alone
// the engine would look idle again, and draw every prompt.
TEST_CASE("an engine that answers nothing does not look idle")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    CHECK(tracker.offer(chainOf(3, 4), Millis(2000)).waitMillis > 1500);
}

TEST_CASE("a reading that does not take place leaves its time to others")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    tracker.enter({"a", 2}, chainOf(3, 4), allTokens, speed, Millis(0));
    tracker.takeBack({"a", 1}, Millis(100));
    CHECK(tracker.offer(chainOf(5, 6), Millis(100)).waitMillis == doctest::Approx(240));
    // Taken back twice, or by somebody who never entered it: nothing happens.
    tracker.takeBack({"a", 1}, Millis(100));
    tracker.read({"b", 9}, Millis(100));
    CHECK(tracker.offer(chainOf(5, 6), Millis(100)).waitMillis == doctest::Approx(240));
}

// The message about a reading's end is lost. Until it is forgotten the engine must not look stuck,
// since all instances would leave a good engine alone for seconds.
TEST_CASE("an answer shows that all readings before it are over")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    tracker.enter({"b", 1}, chainOf(3, 4), allTokens, speed, Millis(0));
    tracker.read({"b", 1}, Millis(580));
    CHECK(tracker.offer(chainOf(5, 6), Millis(3000)).waitMillis == doctest::Approx(0));
    // What comes later counts as before.
    tracker.enter({"c", 1}, chainOf(5, 6), allTokens, speed, Millis(3000));
    CHECK(tracker.offer(chainOf(7, 8), Millis(3000)).waitMillis == doctest::Approx(240));
}

TEST_CASE("a doubled entry counts once, and all of it is taken back")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    tracker.enter({"b", 1}, chainOf(3, 4), allTokens, speed, Millis(0));
    CHECK(tracker.offer(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(480));
    tracker.takeBack({"a", 1}, Millis(0));
    CHECK(tracker.offer(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(240));
}

// An instance dies between its entry and its end. The entry must not weigh for ever.
TEST_CASE("an entry that nobody ends is forgotten")
{
    ReadingBook tracker;
    tracker.enter({"dead", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    const Millis later = ReadingBook::maxPrefillDuration + Millis(1);
    CHECK(tracker.offer(chainOf(5, 6), later).waitMillis == doctest::Approx(0));
}

// Another engine can fetch only what has been read; what still waits here would be read there anew.
TEST_CASE("a part counts as held once its prompt was read")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), allTokens, speed, Millis(0));
    CHECK(tracker.offer(chainOf(1, 3), Millis(100)).heldTokens == doctest::Approx(0));
    tracker.read({"a", 1}, Millis(340));
    CHECK(tracker.offer(chainOf(1, 3), Millis(340)).heldTokens == doctest::Approx(10000));
    CHECK(tracker.offer(chainOf(4, 3), Millis(340)).heldTokens == doctest::Approx(0));
}

TEST_CASE("what is fetched from elsewhere takes no reading time")
{
    ReadingBook tracker;
    tracker.enter({"a", 1}, chainOf(1, 2), 2000, speed, Millis(0));
    CHECK(tracker.offer(chainOf(5, 6), Millis(0)).waitMillis == doctest::Approx(40));
}

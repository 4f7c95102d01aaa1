#include <doctest/doctest.h>

#include "quarantine/book/SuspectBook.h"

#include <string>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis(1000);

RequestFingerprint asked(int number)
{
    return RequestFingerprint::of("north", "/safe/" + std::to_string(number), "body");
}

Suspicion endedUnder(int number, std::vector<UpstreamLife> lives,
                     Millis left = SuspectBook::keptFor)
{
    return {asked(number), std::move(lives), left};
}

} // namespace

TEST_CASE("each upstream that ended under a request raises its level, up to quarantine")
{
    struct Row
    {
        std::vector<UpstreamLife> told;
        bool isRise;
        SuspicionLevel after;
    };
    SuspectBook book;
    for (const Row &row :
         {Row{{1}, false, SuspicionLevel::Noted}, Row{{1}, false, SuspicionLevel::Noted},
          Row{{2, 1}, true, SuspicionLevel::Suspected}, Row{{2}, false, SuspicionLevel::Suspected},
          Row{{3}, true, SuspicionLevel::Quarantined},
          Row{{4}, false, SuspicionLevel::Quarantined}}) {
        CAPTURE(row.told.size());
        CHECK(book.add(endedUnder(1, row.told), start) == row.isRise);
        CHECK(book.level(asked(1), start) == row.after);
        CHECK(book.level(asked(2), start) == SuspicionLevel::None);
    }
    CHECK(book.find(asked(1), start)->ended.size() == SuspectBook::mostEnds);
}

// Guards against upstreams that fail by themselves and get what many callers ask for refused.
TEST_CASE("a request that ran to its end lately is not suspected")
{
    SuspectBook book;
    CHECK_FALSE(book.prove(asked(1), start));
    CHECK_FALSE(book.add(endedUnder(1, {1, 2, 3}), start + Millis(100)));
    CHECK(book.level(asked(1), start + Millis(100)) == SuspicionLevel::None);
    const Millis later = start + SuspectBook::provenFor;
    CHECK(book.add(endedUnder(1, {1, 2, 3}), later));
    CHECK(book.level(asked(1), later) == SuspicionLevel::Quarantined);
    CHECK(book.prove(asked(1), later));
    CHECK(book.level(asked(1), later) == SuspicionLevel::None);
}

TEST_CASE("what is over is forgotten, and what is told keeps its teller's time")
{
    SuspectBook book;
    book.add(endedUnder(1, {1, 2, 3}, Millis(500)), start);
    book.add(endedUnder(2, {1}), start);
    CHECK(book.expire(start + Millis(499)).empty());
    CHECK(book.find(asked(1), start + Millis(100))->left == Millis(400));
    CHECK(book.level(asked(1), start + Millis(500)) == SuspicionLevel::None);
    const auto over = book.expire(start + Millis(500));
    REQUIRE(over.size() == 1);
    CHECK(over.front() == asked(1));
    CHECK(book.level(asked(2), start + Millis(500)) == SuspicionLevel::Noted);
    CHECK_FALSE(book.hasRaised());
}

// Guards against callers who fill an instance's memory with requests that upstreams end under.
TEST_CASE("the oldest entries go when there are too many")
{
    SuspectBook book;
    const int count = static_cast<int>(SuspectBook::mostNoted) + 50;
    for (int i = 0; i < count; ++i)
        book.add(endedUnder(i, {1}), start);
    CHECK(book.level(asked(49), start) == SuspicionLevel::None);
    CHECK(book.level(asked(50), start) == SuspicionLevel::Noted);
    for (int i = 0; i < count; ++i)
        book.add(endedUnder(i, {1, 2}), start);
    CHECK(book.raisedCount() == SuspectBook::mostRaised);
    for (int i = 0; i < count; ++i)
        book.prove(asked(i), start);
    CHECK_FALSE(book.isProven(asked(0), start));
    CHECK(book.isProven(asked(count - 1), start));
}

TEST_CASE("suspicions are named in turn")
{
    SuspectBook book;
    for (int i = 0; i < 5; ++i)
        book.add(endedUnder(i, {1, 2}), start);
    int seen = 0;
    for (int round = 0; round < 5; ++round) {
        for (const Suspicion &each : book.nextRaised(2, start))
            seen += each.fingerprint == asked(3) ? 1 : 0;
    }
    CHECK(seen == 2);
}

#include <doctest/doctest.h>

#include "quarantine/table/SuspicionTable.h"

#include <string>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis(1000);

RequestFingerprint fingerprintOf(int number)
{
    return RequestFingerprint::of("north", "/safe/" + std::to_string(number), "body");
}

Suspicion suspicionOf(int number, std::vector<UpstreamIncarnation> incarnations,
                      Millis remaining = SuspicionTable::retention)
{
    return {fingerprintOf(number), std::move(incarnations), remaining};
}

} // namespace

// Guards against levels that count the same upstream twice, or affect another request.
TEST_CASE("each further upstream that ended under a request raises its level, up to quarantine")
{
    struct Row
    {
        std::vector<UpstreamIncarnation> reported;
        bool isRaised;
        SuspicionLevel after;
    };
    SuspicionTable table;
    for (const Row &row :
         {Row{{1}, false, SuspicionLevel::Noted}, Row{{1}, false, SuspicionLevel::Noted},
          Row{{2, 1}, true, SuspicionLevel::Suspected}, Row{{2}, false, SuspicionLevel::Suspected},
          Row{{3}, true, SuspicionLevel::Quarantined},
          Row{{4}, false, SuspicionLevel::Quarantined}}) {
        CAPTURE(row.reported.size());
        CHECK(table.add(suspicionOf(1, row.reported), start) == row.isRaised);
        CHECK(table.level(fingerprintOf(1), start) == row.after);
        CHECK(table.level(fingerprintOf(2), start) == SuspicionLevel::None);
    }
    CHECK(table.find(fingerprintOf(1), start)->ended.size() == SuspicionTable::maxEnded);
}

// Guards against upstreams that fail for other reasons and get popular requests refused.
TEST_CASE("a request that completed recently is not suspected")
{
    SuspicionTable table;
    CHECK_FALSE(table.recordCompletion(fingerprintOf(1), start));
    CHECK_FALSE(table.add(suspicionOf(1, {1, 2, 3}), start + Millis(100)));
    CHECK(table.level(fingerprintOf(1), start + Millis(100)) == SuspicionLevel::None);
    const Millis later = start + SuspicionTable::completionRetention;
    CHECK(table.add(suspicionOf(1, {1, 2, 3}), later));
    CHECK(table.level(fingerprintOf(1), later) == SuspicionLevel::Quarantined);
    CHECK(table.recordCompletion(fingerprintOf(1), later));
    CHECK(table.level(fingerprintOf(1), later) == SuspicionLevel::None);
}

// Guards against suspicions that never expire because each instance restarts their retention.
TEST_CASE("entries expire, and a received suspicion keeps the remaining time of its sender")
{
    SuspicionTable table;
    table.add(suspicionOf(1, {1, 2, 3}, Millis(500)), start);
    table.add(suspicionOf(2, {1}), start);
    CHECK(table.expire(start + Millis(499)).empty());
    CHECK(table.find(fingerprintOf(1), start + Millis(100))->remaining == Millis(400));
    CHECK(table.level(fingerprintOf(1), start + Millis(500)) == SuspicionLevel::None);
    const auto over = table.expire(start + Millis(500));
    REQUIRE(over.size() == 1);
    CHECK(over.front() == fingerprintOf(1));
    CHECK(table.level(fingerprintOf(2), start + Millis(500)) == SuspicionLevel::Noted);
    CHECK_FALSE(table.hasSuspects());
}

// Guards against callers who fill an instance's memory with requests that end upstreams.
TEST_CASE("the oldest entries are evicted when the table is full")
{
    SuspicionTable table;
    const int count = static_cast<int>(SuspicionTable::maxNoted) + 50;
    for (int i = 0; i < count; ++i)
        table.add(suspicionOf(i, {1}), start);
    CHECK(table.level(fingerprintOf(49), start) == SuspicionLevel::None);
    CHECK(table.level(fingerprintOf(50), start) == SuspicionLevel::Noted);
    for (int i = 0; i < count; ++i)
        table.add(suspicionOf(i, {1, 2}), start);
    CHECK(table.suspectCount() == SuspicionTable::maxSuspects);
    for (int i = 0; i < count; ++i)
        table.recordCompletion(fingerprintOf(i), start);
    CHECK_FALSE(table.hasCompletedRecently(fingerprintOf(0), start));
    CHECK(table.hasCompletedRecently(fingerprintOf(count - 1), start));
}

TEST_CASE("suspects are returned in round-robin order")
{
    SuspicionTable table;
    for (int i = 0; i < 5; ++i)
        table.add(suspicionOf(i, {1, 2}), start);
    int seen = 0;
    for (int round = 0; round < 5; ++round) {
        for (const Suspicion &each : table.nextSuspects(2, start))
            seen += each.fingerprint == fingerprintOf(3) ? 1 : 0;
    }
    CHECK(seen == 2);
}

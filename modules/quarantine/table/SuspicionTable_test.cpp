#include <doctest/doctest.h>

#include "quarantine/table/SuspicionTable.h"

#include <string>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis(100000);

ContentFingerprint fingerprintOf(int number)
{
    return ContentFingerprint::ofPart("m", std::to_string(number));
}

Suspicion suspicionOf(int number, const std::vector<UpstreamIncarnation> &upstreams,
                      Millis age = Millis(0))
{
    Suspicion suspicion{fingerprintOf(number), {}, false};
    for (const UpstreamIncarnation upstream : upstreams)
        suspicion.endings.push_back({upstream, age, false});
    return suspicion;
}

} // namespace

// Guards against levels that count the same upstream twice, or affect another content.
TEST_CASE("each further upstream that ended under a content counts once")
{
    struct Row
    {
        std::vector<UpstreamIncarnation> reported;
        bool isNews;
        std::size_t count;
        SuspicionLevel after;
    };
    SuspicionTable table;
    for (const Row &row :
         {Row{{1}, false, 1, SuspicionLevel::Noted}, Row{{1}, false, 1, SuspicionLevel::Noted},
          Row{{2, 1}, true, 2, SuspicionLevel::Suspected},
          Row{{2}, false, 2, SuspicionLevel::Suspected},
          Row{{3}, true, 3, SuspicionLevel::Suspected}}) {
        CAPTURE(row.reported.size());
        CHECK(table.add(suspicionOf(1, row.reported), start) == row.isNews);
        CHECK(table.level(fingerprintOf(1), start) == row.after);
        CHECK(table.endingCount(fingerprintOf(1), start) == row.count);
        CHECK(table.level(fingerprintOf(2), start) == SuspicionLevel::None);
    }
    for (UpstreamIncarnation upstream = 4; upstream < 40; ++upstream)
        table.add(suspicionOf(1, {upstream}), start);
    CHECK(table.endingCount(fingerprintOf(1), start) == SuspicionTable::maxEndings);
}

// Guards against a part that is cleared by responses from before it became fatal.
TEST_CASE("only a response that began after an ending voids it, also if it is reported again")
{
    SuspicionTable table;
    table.add(suspicionOf(1, {1}), start);
    table.add(suspicionOf(1, {2}), start + Millis(100));
    CHECK(table.recordAnswer(fingerprintOf(1), start - Millis(1), start + Millis(120)).empty());
    CHECK(table.endingCount(fingerprintOf(1), start + Millis(120)) == 2);
    const auto voided =
        table.recordAnswer(fingerprintOf(1), start + Millis(50), start + Millis(150));
    CHECK(voided == std::vector<UpstreamIncarnation>{1});
    CHECK(table.level(fingerprintOf(1), start + Millis(150)) == SuspicionLevel::Noted);
    table.add(suspicionOf(1, {1, 3}, Millis(160)), start + Millis(160));
    CHECK(table.endingCount(fingerprintOf(1), start + Millis(160)) == 1);
    table.add(suspicionOf(1, {4}), start + Millis(170));
    CHECK(table.endingCount(fingerprintOf(1), start + Millis(170)) == 2);
}

TEST_CASE("endings that were voided elsewhere, or have another cause, count no more")
{
    SuspicionTable table;
    table.add(suspicionOf(1, {1, 2}), start);
    table.add(suspicionOf(2, {1, 2, 3}), start);
    CHECK(table.voidEndings(fingerprintOf(1), {2, 9}));
    CHECK_FALSE(table.voidEndings(fingerprintOf(1), {2}));
    CHECK(table.endingCount(fingerprintOf(1), start) == 1);
    table.explain({fingerprintOf(1)}, {1, 2});
    CHECK(table.endingCount(fingerprintOf(1), start) == 1);
    CHECK(table.endingCount(fingerprintOf(2), start) == 1);
}

// Guards against popular parts that are held back when a failure domain is lost.
TEST_CASE("a content that was answered recently is held only after endings that are spread in time")
{
    struct Row
    {
        bool wasAnswered;
        std::vector<Millis> ages;
        bool isHeld;
    };
    for (const Row &row : {Row{false, {Millis(0)}, false}, Row{false, {Millis(0), Millis(0)}, true},
                           Row{true, {Millis(0), Millis(0), Millis(0), Millis(0)}, false},
                           Row{true, {Millis(0), Millis(500)}, false},
                           Row{true, {Millis(0), Millis(100), Millis(200)}, true}}) {
        CAPTURE(row.wasAnswered);
        CAPTURE(row.ages.size());
        SuspicionTable table;
        Suspicion suspicion{fingerprintOf(1), {}, row.wasAnswered};
        for (const Millis age : row.ages)
            suspicion.endings.push_back({suspicion.endings.size(), age, false});
        table.add(suspicion, start);
        CHECK(table.isHeld(fingerprintOf(1), SuspicionTable::suspectedThreshold, start)
              == row.isHeld);
    }
}

// Guards against suspicions that never expire because each instance restarts their retention.
TEST_CASE("entries expire, and endings keep their age from instance to instance")
{
    SuspicionTable table;
    table.add(suspicionOf(1, {1, 2}, Millis(500)), start);
    CHECK(table.find(fingerprintOf(1), start + Millis(100))->endings[0].age == Millis(600));
    const Millis end = start + SuspicionTable::retention;
    table.expire(end - Millis(1));
    CHECK(table.level(fingerprintOf(1), end - Millis(1)) == SuspicionLevel::Suspected);
    CHECK(table.level(fingerprintOf(1), end) == SuspicionLevel::None);
    table.expire(end);
    CHECK_FALSE(table.hasSuspects());
    CHECK(table.isEmpty());
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
    const int answered = static_cast<int>(AnsweredContents::maxContents) + 50;
    for (int i = 0; i < answered; ++i)
        table.recordAnswer(fingerprintOf(i), start, start);
    CHECK_FALSE(table.wasAnswered(fingerprintOf(49), start));
    CHECK(table.wasAnswered(fingerprintOf(50), start));
    CHECK_FALSE(table.wasAnswered(fingerprintOf(50), start + AnsweredContents::retention));
}

TEST_CASE("suspects are returned in round-robin order")
{
    SuspicionTable table;
    for (int i = 0; i < 5; ++i)
        table.add(suspicionOf(i, {1, 2}), start);
    int seen = 0;
    for (int round = 0; round < 5; ++round) {
        for (const Suspicion &each : table.nextSuspects(2, start))
            seen += each.content == fingerprintOf(3) ? 1 : 0;
    }
    CHECK(seen == 2);
}

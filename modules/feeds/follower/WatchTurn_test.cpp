#include <doctest/doctest.h>

#include "feeds/follower/WatchTurn.h"

using namespace cuminrail;

namespace {

const WatchTiming timing = WatchTiming::forAllowance(Millis(4000));

WatchTurn turnOf(std::size_t rank)
{
    WatchTurn turn(timing, Millis(0));
    turn.setPlace({true, rank, 40, 2}, Millis(0));
    return turn;
}

/** Returns when an instance first may watch, looking each 10 ms. */
Millis firstTurn(WatchTurn &turn, bool hearsOthers, Millis from)
{
    for (Millis now = from; now < from + Millis::seconds(60); now = now + Millis(10)) {
        if (hearsOthers)
            turn.heard(now);
        if (turn.mayWatch(now))
            return now;
    }
    return Millis::never();
}

} // namespace

TEST_CASE("turns come in the order of ranks, soon in silence and one by one in trouble")
{
    struct Row
    {
        std::size_t rank;
        bool hearsOthers;
        Millis after;
    };
    const Row rows[] = {
        {0, false, Millis(0)},
        {1, true, Millis(0)},
        {2, false, Millis(2150)},
        {3, false, Millis(2300)},
        {39, false, Millis(2600)},
        {2, true, Millis(2000) + WatchTurn::troubledStagger},
        {3, true, Millis(2000) + WatchTurn::troubledStagger * 2},
        {12, true, Millis(2000) + WatchTurn::troubledStagger * 11},
    };
    for (const Row &row : rows) {
        CAPTURE(row.rank);
        CAPTURE(row.hearsOthers);
        WatchTurn turn = turnOf(row.rank);
        CHECK(firstTurn(turn, row.hearsOthers, Millis(0)) == row.after);
    }
}

// Guards against seconds without news in which every watcher already knows that the store refuses
// it.
TEST_CASE("turns begin at once when all watchers are refused, unless somebody else is served")
{
    for (const std::size_t rank : {std::size_t{2}, std::size_t{5}}) {
        CAPTURE(rank);
        const Millis now(7000);
        const Millis turn = WatchTurn::troubledStagger * static_cast<std::int64_t>(rank - 1);
        WatchTurn one = turnOf(rank);
        one.confirmed(now, 0, now);
        one.refused(0, now);
        CHECK_FALSE(one.mayWatch(now + turn));
        WatchTurn all = one;
        all.refused(1, now);
        CHECK_FALSE(all.mayWatch(now + turn - Millis(1)));
        CHECK(all.mayWatch(now + turn));
        WatchTurn actedFor = all;
        actedFor.served(9, now);
        CHECK_FALSE(actedFor.mayWatch(now + turn));
        WatchTurn returned = all;
        returned.served(1, now);
        CHECK_FALSE(returned.mayWatch(now + turn));
    }
}

TEST_CASE("an instance whose turn brought nothing leaves the next turns to the others")
{
    WatchTurn turn = turnOf(5);
    const Millis first = firstTurn(turn, true, Millis(0));
    turn.failed(first);
    CHECK(firstTurn(turn, true, first) == first + WatchTurn::troubledStagger * 40);
}

// Two instances act for the watchers at once. If each stopped at the other's word, both would stop,
// and all would be without news until the next turns.
TEST_CASE("of two that act for the watchers the one of the lower rank goes on")
{
    WatchTurn lower = turnOf(2);
    WatchTurn higher = turnOf(3);
    const Millis now(5000);
    lower.succeeded();
    higher.succeeded();
    lower.confirmed(now, 3, now);
    higher.confirmed(now, 2, now);
    CHECK(lower.mayWatch(now));
    CHECK_FALSE(higher.mayWatch(now));
    lower.confirmed(now, 0, now);
    CHECK_FALSE(lower.mayWatch(now));
}

TEST_CASE("the spans leave room within the allowance for a turn and a call")
{
    for (const int allowance : {2000, 3000, 4000, 6000}) {
        CAPTURE(allowance);
        const WatchTiming spans = WatchTiming::forAllowance(Millis(allowance));
        CHECK(spans.speakerWait + spans.heartbeatEvery < spans.confirmationHolds);
        CHECK(spans.confirmationHolds + WatchTurn::silentStaggerMost < Millis(allowance));
    }
}

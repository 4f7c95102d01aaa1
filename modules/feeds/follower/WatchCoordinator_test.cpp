#include <doctest/doctest.h>

#include "feeds/follower/WatchCoordinator.h"

using namespace cuminrail;

namespace {

const WatchTiming timing = WatchTiming::forMaxDelay(Millis(4000));

WatchCoordinator coordinatorOf(std::size_t rank)
{
    WatchCoordinator coordinator(timing, Millis(0));
    coordinator.setPosition({true, rank, 40, 2}, Millis(0));
    return coordinator;
}

/** Returns when an instance may first watch, checked every 10 ms. */
Millis firstAttempt(WatchCoordinator &coordinator, bool receivesMessages, Millis from)
{
    for (Millis now = from; now < from + Millis::seconds(60); now = now + Millis(10)) {
        if (receivesMessages)
            coordinator.recordMessage(now);
        if (coordinator.mayWatch(now))
            return now;
    }
    return Millis::never();
}

} // namespace

// Guards against hundreds of instances that call a failed store at once, and against a long gap in
// updates after all watchers are gone.
TEST_CASE("attempts follow the ranks, quickly in silence and one at a time in a store outage")
{
    struct Row
    {
        std::size_t rank;
        bool receivesMessages;
        Millis after;
    };
    const Row rows[] = {
        {0, false, Millis(0)},
        {1, true, Millis(0)},
        {2, false, Millis(2150)},
        {3, false, Millis(2300)},
        {39, false, Millis(2600)},
        {2, true, Millis(2000) + WatchCoordinator::outageStagger},
        {3, true, Millis(2000) + WatchCoordinator::outageStagger * 2},
        {12, true, Millis(2000) + WatchCoordinator::outageStagger * 11},
    };
    for (const Row &row : rows) {
        CAPTURE(row.rank);
        CAPTURE(row.receivesMessages);
        WatchCoordinator coordinator = coordinatorOf(row.rank);
        CHECK(firstAttempt(coordinator, row.receivesMessages, Millis(0)) == row.after);
    }
}

// Guards against seconds without updates although every watcher already reports that the store
// refuses it.
TEST_CASE("attempts begin at once when the store refuses all watchers and serves no other")
{
    for (const std::size_t rank : {std::size_t{2}, std::size_t{5}}) {
        CAPTURE(rank);
        const Millis now(7000);
        const Millis delay = WatchCoordinator::outageStagger * static_cast<std::int64_t>(rank - 1);
        WatchCoordinator one = coordinatorOf(rank);
        one.recordConfirmation(now, 0, now);
        one.recordRefusal(0, now);
        CHECK_FALSE(one.mayWatch(now + delay));
        WatchCoordinator all = one;
        all.recordRefusal(1, now);
        CHECK_FALSE(all.mayWatch(now + delay - Millis(1)));
        CHECK(all.mayWatch(now + delay));
        WatchCoordinator substituted = all;
        substituted.recordServed(9, now);
        CHECK_FALSE(substituted.mayWatch(now + delay));
        WatchCoordinator served = all;
        served.recordServed(1, now);
        CHECK_FALSE(served.mayWatch(now + delay));
    }
}

// Guards against one low rank that keeps calling a store that refuses it, while an instance that
// the store serves waits for its attempt.
TEST_CASE("after a failed attempt an instance waits until all others have had their attempts")
{
    WatchCoordinator coordinator = coordinatorOf(5);
    const Millis first = firstAttempt(coordinator, true, Millis(0));
    coordinator.recordFailure(first);
    CHECK(firstAttempt(coordinator, true, first) == first + WatchCoordinator::outageStagger * 40);
}

// Two instances substitute for the watchers at once. If each stopped on a message from the other,
// both would stop, and no instance would receive updates until the next attempts.
TEST_CASE("of two substitutes for the watchers the one of the lower rank continues")
{
    WatchCoordinator lower = coordinatorOf(2);
    WatchCoordinator higher = coordinatorOf(3);
    const Millis now(5000);
    lower.recordSuccess();
    higher.recordSuccess();
    lower.recordConfirmation(now, 3, now);
    higher.recordConfirmation(now, 2, now);
    CHECK(lower.mayWatch(now));
    CHECK_FALSE(higher.mayWatch(now));
    lower.recordConfirmation(now, 0, now);
    CHECK_FALSE(lower.mayWatch(now));
}

// Guards against a timing in which the age of the confirmations alone uses up the permitted delay.
TEST_CASE("the timing leaves room for an attempt and a call within the permitted delay")
{
    for (const int maxDelay : {2000, 3000, 4000, 6000}) {
        CAPTURE(maxDelay);
        const WatchTiming derived = WatchTiming::forMaxDelay(Millis(maxDelay));
        CHECK(derived.primaryWait + derived.heartbeatInterval < derived.confirmationValidity);
        CHECK(derived.confirmationValidity + WatchCoordinator::maxSilenceStagger
              < Millis(maxDelay));
    }
}

#include <doctest/doctest.h>

#include "runtime/time/BootClock.h"
#include "runtime/time/DeadlineList.h"

#include <chrono>
#include <memory>

using namespace cuminrail;

namespace {

constexpr Millis tick(20);

/** Runs an event loop for a while and returns how many handlers it executed. */
std::size_t runFor(boost::asio::io_context &io, Millis span)
{
    return io.run_for(std::chrono::milliseconds(span.count()));
}

} // namespace

// Guards against fifty wake-ups a second of each of a thousand idle instances.
TEST_CASE("without a deadline that is due the list wakes up rarely")
{
    boost::asio::io_context io;
    DeadlineList list(io, bootClock(), tick);
    Deadline later(list, [] {});
    list.start();
    later.setAfter(Millis::seconds(60));
    CHECK(runFor(io, Millis(1000)) <= 1000 / DeadlineList::maxWait.count() + 2);
    list.stop();
}

// Guards against a deadline that is noticed only when a later one is due.
TEST_CASE("a deadline is noticed within a tick, whichever was set before")
{
    boost::asio::io_context io;
    DeadlineList list(io, bootClock(), tick);
    const Millis start = list.now();
    std::vector<Millis> fired;
    const auto onExpired = [&] { fired.push_back(list.now() - start); };
    Deadline late(list, onExpired);
    Deadline early(list, onExpired);
    list.start();
    late.setAfter(Millis(150));
    early.setAfter(Millis(40));
    runFor(io, Millis(400));
    list.stop();
    REQUIRE(fired.size() == 2);
    constexpr Millis slack(60);
    CHECK(fired[0] >= Millis(40));
    CHECK(fired[0] <= Millis(40) + tick + slack);
    CHECK(fired[1] >= Millis(150));
    CHECK(fired[1] <= Millis(150) + tick + slack);
}

// Guards against a deadline that fires although it was moved forward by progress.
TEST_CASE("a deadline that is moved forward does not fire before")
{
    boost::asio::io_context io;
    DeadlineList list(io, bootClock(), tick);
    int fired = 0;
    Deadline moved(list, [&] { ++fired; });
    list.start();
    moved.setAfter(Millis(60));
    moved.setAfter(Millis::seconds(60));
    runFor(io, Millis(300));
    CHECK(fired == 0);
    moved.clear();
    list.stop();
}

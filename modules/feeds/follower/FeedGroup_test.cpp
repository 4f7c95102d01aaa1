#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

#include <algorithm>

using namespace cuminrail;
using namespace cuminrail::testing;

// The store answers no instance for eight seconds, a third of two hundred instances is cut off from
// it for longer, and another third is restarted. If each instance calls the store itself, the
// outage multiplies the calls that the store has to refuse, and each one is billed.
TEST_CASE("an outage of the store does not multiply the calls of many instances")
{
    struct Row
    {
        bool isShared;
        std::uint64_t minCallsHealthy;
        std::uint64_t maxCallsHealthy;
        std::uint64_t minCallsInOutage;
        std::uint64_t maxCallsInOutage;
    };
    // In a minute without failures the primary watcher of each domain and feed calls as often as
    // its calls end, the standby a quarter as often; the outage costs at most as much again, and
    // two lists per restart.
    const WatchTiming timing = WatchTiming::forMaxDelay(maxDelay);
    const auto callsOf = [](Millis wait) {
        return static_cast<std::uint64_t>(Millis::seconds(60).count() / wait.count()) + 1;
    };
    const std::uint64_t healthyCalls =
        2 * 5 * (callsOf(timing.primaryWait) + callsOf(timing.standbyWait));
    constexpr std::uint64_t restarts = 66 * 2;
    // The cost of unshared watches shows that the load is high enough for the comparison to mean
    // something.
    const Row rows[] = {
        {true, 0, healthyCalls, 0, 2 * healthyCalls + restarts},
        {false, 2 * healthyCalls, 8 * healthyCalls, 4 * healthyCalls, 20 * healthyCalls}};
    for (const Row &row : rows) {
        FeedCluster cluster(5, 40, row.isShared, 4);
        cluster.scheduler.runFor(Millis::seconds(5));
        std::uint64_t before = cluster.sentCalls();
        cluster.scheduler.runFor(Millis::seconds(60));
        const std::uint64_t callsHealthy = cluster.sentCalls() - before;
        CHECK(callsHealthy >= row.minCallsHealthy);
        CHECK(callsHealthy <= row.maxCallsHealthy);
        before = cluster.sentCalls();
        for (std::size_t i = 0; i < 200; i += 3)
            cluster.setCut(i, true);
        cluster.scheduler.runFor(Millis::seconds(4));
        cluster.network.setDown(FakeObjectStore::endpoint, true);
        cluster.scheduler.runFor(Millis::seconds(8));
        cluster.network.setDown(FakeObjectStore::endpoint, false);
        cluster.scheduler.runFor(Millis::seconds(2));
        for (std::size_t i = 1; i < 200; i += 3) {
            cluster.start(i);
            cluster.scheduler.runFor(Millis(250));
        }
        for (std::size_t i = 0; i < 200; i += 3)
            cluster.setCut(i, false);
        cluster.scheduler.runFor(Millis::seconds(30));
        const std::uint64_t callsInOutage = cluster.sentCalls() - before;
        CHECK(callsInOutage >= row.minCallsInOutage);
        CHECK(callsInOutage <= row.maxCallsInOutage);
        CHECK(cluster.countUnaware("upstreams/u-1") == 0);
    }
}

// The store refuses the watchers and serves the others. Another instance substitutes for them, so
// frequent further calls would only add to what the store has to refuse.
TEST_CASE("watchers that the store refuses retry rarely while a substitute is active")
{
    FeedCluster cluster(1, 20, true, 6);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.network.setHook([](const FakeMessage &message) {
        const bool isWatcher = message.process == "i-0" || message.process == "i-1";
        return MessageFate{isWatcher, Millis(0)};
    });
    cluster.scheduler.runFor(Millis::seconds(5));
    const std::uint64_t before = cluster.sentCalls();
    cluster.scheduler.runFor(Millis::seconds(60));
    const Millis retryInterval =
        FakeNetwork::callTimeout + FeedFollower::confirmedRetryInterval / 2;
    const auto refusedCalls = static_cast<std::uint64_t>(60000 / retryInterval.count()) + 1;
    const Millis wait = WatchTiming::forMaxDelay(maxDelay).primaryWait;
    const auto substituteCalls = static_cast<std::uint64_t>(60000 / wait.count()) + 1;
    CHECK(cluster.sentCalls() - before <= 2 * (substituteCalls + 2 * refusedCalls));
}

// An upstream leaves while some instances of a domain fail. An instance that does not learn of it
// keeps sending requests there, which are lost when the upstream is gone.
TEST_CASE("every instance that the store serves learns of a change in time")
{
    struct Row
    {
        const char *name;
        /** Instances that are gone, cut off from the store, or whose messages are lost. */
        std::vector<std::size_t> dead;
        std::vector<std::size_t> cut;
        std::vector<std::size_t> silenced;
        Millis limit;
    };
    const Row rows[] = {
        {"no failure", {}, {}, {}, Millis(100)},
        {"the first watcher is gone", {0}, {}, {}, Millis(100)},
        {"both watchers are gone", {0, 1}, {}, {}, maxDelay},
        {"both watchers and the next two ranks are gone", {0, 1, 2, 3}, {}, {}, maxDelay},
        {"the store refuses both watchers", {}, {0, 1}, {}, maxDelay},
        {"the store refuses the first seven ranks", {}, {0, 1, 2, 3, 4, 5, 6}, {}, maxDelay},
        {"the watchers' messages are lost", {}, {}, {0, 1}, maxDelay},
        {"all messages are lost",
         {},
         {},
         {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19},
         maxDelay},
    };
    for (const Row &row : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            FeedCluster cluster(1, 20, true, seed);
            cluster.scheduler.runFor(Millis(5000 + static_cast<std::int64_t>(seed) * 170));
            for (const std::size_t index : row.dead)
                cluster.kill(index);
            for (const std::size_t index : row.cut)
                cluster.setCut(index, true);
            cluster.isLost = [&row](std::size_t from, std::size_t) {
                return std::count(row.silenced.begin(), row.silenced.end(), from) > 0;
            };
            cluster.store.write("upstreams/u-7", "leaving");
            cluster.scheduler.runFor(row.limit);
            CHECK(cluster.countUnaware("upstreams/u-7") == 0);
            // The same holds for as long as the failure lasts.
            cluster.scheduler.runFor(Millis(7300));
            cluster.store.write("upstreams/u-8", "leaving");
            cluster.scheduler.runFor(row.limit);
            CHECK(cluster.countUnaware("upstreams/u-8") == 0);
        }
    }
}

// One message with a change is lost on the way to some instances. If they considered themselves
// current, they would use removed upstreams until the next change; if each read the store itself,
// that would cost one call per instance.
TEST_CASE("a lost update is detected by the next heartbeat and queried from its sender")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.isLost = [](std::size_t, std::size_t to) { return to > 10; };
    cluster.store.write("upstreams/u-7", "leaving");
    cluster.scheduler.runFor(Millis(50));
    CHECK(cluster.countUnaware("upstreams/u-7") == 9);
    cluster.isLost = nullptr;
    const std::uint64_t before = cluster.calls();
    cluster.scheduler.runFor(Millis(700));
    CHECK(cluster.countUnaware("upstreams/u-7") == 0);
    // Only the calls that the watchers make anyway.
    CHECK(cluster.calls() - before <= 4);
}

// The sender's reply is lost as well. Then the store is the last resort.
TEST_CASE("a missing update is read from the store when the sender does not reply")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    // Heartbeats arrive; updates and replies to queries never do.
    cluster.isDropped = [](const std::string &frame) {
        return decodeFeedUpdate(frame).has_value();
    };
    cluster.store.write("upstreams/u-7", "leaving");
    cluster.scheduler.runFor(Millis(2000));
    CHECK(cluster.countUnaware("upstreams/u-7") == 0);
}

// An instance listed the state before the others did, and saw an upstream that was removed before
// their history begins. If it received changes only, it would keep that upstream for ever.
TEST_CASE("an instance that is behind the sender's history receives the whole state")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis(60));
    for (std::size_t i = 0; i < 10; ++i)
        cluster.setCut(i, true);
    cluster.store.remove("upstreams/u-7");
    cluster.store.write("upstreams/u-8", "leaving");
    for (std::size_t i = 0; i < 10; ++i) {
        cluster.setCut(i, false);
        cluster.start(i);
    }
    const std::uint64_t before = cluster.calls();
    cluster.scheduler.runFor(Millis(3000));
    CHECK(cluster.countUnaware("upstreams/u-7") == 0);
    CHECK(cluster.countUnaware("upstreams/u-8") == 0);
    // Two lists for each instance that started, the calls of the watchers, and none by the ten
    // others.
    CHECK(cluster.calls() - before <= 10 * 2 + 20);
}

// Twenty machines are added to a domain. The existing instances read the list of members once a
// minute; until then they would send the new ones nothing, and each of those would watch on behalf
// of all.
TEST_CASE("instances that are not yet in the list of members receive updates too")
{
    FeedCluster cluster(1, 40, true, 3);
    for (std::size_t i = 20; i < 40; ++i)
        cluster.kill(i);
    cluster.setKnownMembers(20);
    cluster.scheduler.runFor(Millis::seconds(10));
    for (std::size_t i = 20; i < 40; ++i)
        cluster.start(i);
    cluster.scheduler.runFor(Millis::seconds(6));
    const std::uint64_t before = cluster.sentCalls();
    cluster.scheduler.runFor(Millis::seconds(60));
    // A primary and a standby watcher for each feed, as before.
    const WatchTiming timing = WatchTiming::forMaxDelay(maxDelay);
    const auto primaryCalls = static_cast<std::uint64_t>(60000 / timing.primaryWait.count()) + 1;
    const auto standbyCalls = static_cast<std::uint64_t>(60000 / timing.standbyWait.count()) + 1;
    CHECK(cluster.sentCalls() - before <= 2 * (primaryCalls + standbyCalls));
    cluster.store.write("upstreams/u-9", "leaving");
    cluster.scheduler.runFor(Millis(200));
    CHECK(cluster.countUnaware("upstreams/u-9") == 0);
}

// The store drops its history, so the watchers have to list everything again. If the others did so
// too, hundreds of lists would reach the store at once, each time.
TEST_CASE("differences that a watcher finds by listing everything are distributed as changes")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    for (std::size_t i = 0; i < 20; ++i)
        cluster.setCut(i, true);
    cluster.scheduler.runFor(Millis::seconds(3));
    cluster.store.write("upstreams/u-3", "leaving");
    const std::uint64_t lists = cluster.store.counts().lists;
    cluster.store.dropHistory();
    for (std::size_t i = 0; i < 20; ++i)
        cluster.setCut(i, false);
    cluster.scheduler.runFor(maxDelay);
    CHECK(cluster.countUnaware("upstreams/u-3") == 0);
    CHECK(cluster.store.counts().lists - lists <= 8);
}

// Entries of upstreams expire during an outage of the store. An instance on whose behalf others
// watch did not call the store in that time; unaware of the outage it would drop them all at once.
TEST_CASE("instances that rely on others detect an outage of the store")
{
    FeedCluster cluster(1, 20, true, 8);
    cluster.scheduler.runFor(Millis::seconds(10));
    for (const FollowingInstance &instance : cluster.instances)
        CHECK(instance.recoveries == 0);
    cluster.network.setDown(FakeObjectStore::endpoint, true);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.network.setDown(FakeObjectStore::endpoint, false);
    cluster.scheduler.runFor(Millis::seconds(5));
    for (const FollowingInstance &instance : cluster.instances)
        CHECK(instance.recoveries >= 1);
}

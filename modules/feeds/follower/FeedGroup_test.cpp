#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

#include <algorithm>

using namespace cuminrail;
using namespace cuminrail::testing;

// The store answers nobody for eight seconds, a third of two hundred instances is cut off from it
// for longer, and another third is restarted. Where each asks for itself, trouble multiplies the
// calls that the store has to turn away, and each one is paid for.
TEST_CASE("trouble of the store does not multiply the calls of many instances")
{
    struct Row
    {
        bool isShared;
        std::uint64_t leastCalm;
        std::uint64_t mostCalm;
        std::uint64_t leastTroubled;
        std::uint64_t mostTroubled;
    };
    // In a calm minute the first watcher of each domain and feed calls as often as its calls end,
    // the second one a quarter as often; trouble costs at most as much again, and two lists a
    // restart.
    const WatchTiming timing = WatchTiming::forAllowance(allowance);
    const auto callsOf = [](Millis wait) {
        return static_cast<std::uint64_t>(Millis::seconds(60).count() / wait.count()) + 1;
    };
    const std::uint64_t calm = 2 * 5 * (callsOf(timing.speakerWait) + callsOf(timing.standbyWait));
    constexpr std::uint64_t restarts = 66 * 2;
    // What each asking for itself costs shows that the load is one worth answering.
    const Row rows[] = {{true, 0, calm, 0, 2 * calm + restarts},
                        {false, 2 * calm, 8 * calm, 4 * calm, 20 * calm}};
    for (const Row &row : rows) {
        FeedCluster cluster(5, 40, row.isShared, 4);
        cluster.scheduler.runFor(Millis::seconds(5));
        std::uint64_t before = cluster.sent();
        cluster.scheduler.runFor(Millis::seconds(60));
        const std::uint64_t inCalm = cluster.sent() - before;
        CHECK(inCalm >= row.leastCalm);
        CHECK(inCalm <= row.mostCalm);
        before = cluster.sent();
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
        const std::uint64_t inTrouble = cluster.sent() - before;
        CHECK(inTrouble >= row.leastTroubled);
        CHECK(inTrouble <= row.mostTroubled);
        CHECK(cluster.unaware("upstreams/u-1") == 0);
    }
}

// The store turns the watchers away and serves the others. Another instance watches for them, so
// asking again and again would only add to what the store has to refuse.
TEST_CASE("watchers that are turned away ask seldom while another one acts for them")
{
    FeedCluster cluster(1, 20, true, 6);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.network.setHook([](const FakeMessage &message) {
        const bool isWatcher = message.process == "i-0" || message.process == "i-1";
        return MessageFate{isWatcher, Millis(0)};
    });
    cluster.scheduler.runFor(Millis::seconds(5));
    const std::uint64_t before = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(60));
    const Millis between = FakeNetwork::callTimeout + FeedFollower::confirmedRetry / 2;
    const auto turnedAway = static_cast<std::uint64_t>(60000 / between.count()) + 1;
    const Millis wait = WatchTiming::forAllowance(allowance).speakerWait;
    const auto acting = static_cast<std::uint64_t>(60000 / wait.count()) + 1;
    CHECK(cluster.sent() - before <= 2 * (acting + 2 * turnedAway));
}

// An upstream leaves while some instances of a domain cannot do their part. Whoever does not hear
// of it goes on sending requests there, which are lost when the upstream is gone.
TEST_CASE("every instance that the store serves learns of a change in time")
{
    struct Row
    {
        const char *what;
        /** Instances that are gone, cut off from the store, or whose messages are lost. */
        std::vector<std::size_t> dead;
        std::vector<std::size_t> cut;
        std::vector<std::size_t> mute;
        Millis most;
    };
    const Row rows[] = {
        {"all well", {}, {}, {}, Millis(100)},
        {"the first watcher is gone", {0}, {}, {}, Millis(100)},
        {"both watchers are gone", {0, 1}, {}, {}, allowance},
        {"both watchers and the next in turn are gone", {0, 1, 2, 3}, {}, {}, allowance},
        {"the store turns both watchers away", {}, {0, 1}, {}, allowance},
        {"the store turns seven in a row away", {}, {0, 1, 2, 3, 4, 5, 6}, {}, allowance},
        {"the watchers' messages are lost", {}, {}, {0, 1}, allowance},
        {"nobody's messages arrive",
         {},
         {},
         {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19},
         allowance},
    };
    for (const Row &row : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(std::string(row.what));
            CAPTURE(seed);
            FeedCluster cluster(1, 20, true, seed);
            cluster.scheduler.runFor(Millis(5000 + static_cast<std::int64_t>(seed) * 170));
            for (const std::size_t index : row.dead)
                cluster.kill(index);
            for (const std::size_t index : row.cut)
                cluster.setCut(index, true);
            cluster.isLost = [&row](std::size_t from, std::size_t) {
                return std::count(row.mute.begin(), row.mute.end(), from) > 0;
            };
            cluster.store.write("upstreams/u-7", "leaving");
            cluster.scheduler.runFor(row.most);
            CHECK(cluster.unaware("upstreams/u-7") == 0);
            // And so on for as long as it lasts.
            cluster.scheduler.runFor(Millis(7300));
            cluster.store.write("upstreams/u-8", "leaving");
            cluster.scheduler.runFor(row.most);
            CHECK(cluster.unaware("upstreams/u-8") == 0);
        }
    }
}

// One message of a change is lost on the way to some. Taken for current all the same, they would
// use what is gone until something else changes; asking the store each for itself costs a call
// each.
TEST_CASE("a lost message is noticed by the next heartbeat and asked of its sender")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.isLost = [](std::size_t, std::size_t to) { return to > 10; };
    cluster.store.write("upstreams/u-7", "leaving");
    cluster.scheduler.runFor(Millis(50));
    CHECK(cluster.unaware("upstreams/u-7") == 9);
    cluster.isLost = nullptr;
    const std::uint64_t before = cluster.calls();
    cluster.scheduler.runFor(Millis(700));
    CHECK(cluster.unaware("upstreams/u-7") == 0);
    // No more than what the watchers do anyway.
    CHECK(cluster.calls() - before <= 4);
}

// The sender's answer does not come either. Then the store is the last resort.
TEST_CASE("what the sender does not answer is read from the store")
{
    FeedCluster cluster(1, 20, true, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    // Heartbeats are small; changes and answers to questions never arrive.
    cluster.isTooLong = [](const std::string &frame) {
        return decodeFeedUpdate(frame).has_value();
    };
    cluster.store.write("upstreams/u-7", "leaving");
    cluster.scheduler.runFor(Millis(2000));
    CHECK(cluster.unaware("upstreams/u-7") == 0);
}

// An instance read the whole state before the others did, and saw an upstream that was removed
// before their own knowledge begins. Told of changes only, it would keep that upstream for ever.
TEST_CASE("an instance that is further back than the sender's knowledge is told everything")
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
    CHECK(cluster.unaware("upstreams/u-7") == 0);
    CHECK(cluster.unaware("upstreams/u-8") == 0);
    // Two lists for each that started, the watchers' calls, and none by the ten others.
    CHECK(cluster.calls() - before <= 10 * 2 + 20);
}

// Twenty machines are added to a domain. Those that were there read the list of members once a
// minute; until then they tell the new ones nothing, and each of those would watch for everybody.
TEST_CASE("instances that the others do not know yet are told all the same")
{
    FeedCluster cluster(1, 40, true, 3);
    for (std::size_t i = 20; i < 40; ++i)
        cluster.kill(i);
    cluster.limitMembers(20);
    cluster.scheduler.runFor(Millis::seconds(10));
    for (std::size_t i = 20; i < 40; ++i)
        cluster.start(i);
    cluster.scheduler.runFor(Millis::seconds(6));
    const std::uint64_t before = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(60));
    // A watcher and a standby for each feed, as ever.
    const WatchTiming timing = WatchTiming::forAllowance(allowance);
    const auto speaker = static_cast<std::uint64_t>(60000 / timing.speakerWait.count()) + 1;
    const auto standby = static_cast<std::uint64_t>(60000 / timing.standbyWait.count()) + 1;
    CHECK(cluster.sent() - before <= 2 * (speaker + standby));
    cluster.store.write("upstreams/u-9", "leaving");
    cluster.scheduler.runFor(Millis(200));
    CHECK(cluster.unaware("upstreams/u-9") == 0);
}

// The store forgets its history, so the watchers have to read everything again. If the others did
// so too, hundreds of lists would meet the store at once, each time.
TEST_CASE("what a watcher finds changed by reading everything is passed on as changes")
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
    cluster.scheduler.runFor(allowance);
    CHECK(cluster.unaware("upstreams/u-3") == 0);
    CHECK(cluster.store.counts().lists - lists <= 8);
}

// Entries of upstreams lapse while the store is away. An instance that others watch for never
// called the store in that time; unaware of the outage it would drop them all at once.
TEST_CASE("followers notice that the store was away")
{
    FeedCluster cluster(1, 20, true, 8);
    cluster.scheduler.runFor(Millis::seconds(10));
    for (const FollowingInstance &instance : cluster.instances)
        CHECK(instance.returns == 0);
    cluster.network.setDown(FakeObjectStore::endpoint, true);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.network.setDown(FakeObjectStore::endpoint, false);
    cluster.scheduler.runFor(Millis::seconds(5));
    for (const FollowingInstance &instance : cluster.instances)
        CHECK(instance.returns >= 1);
}

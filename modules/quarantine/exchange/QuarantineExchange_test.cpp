#include <doctest/doctest.h>

#include "quarantine/testing/QuarantineCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

ContentFingerprint fingerprintOf(const std::string &what)
{
    return ContentFingerprint::ofRequest("north", "/safe/" + what, "body");
}

const ContentFingerprint fatal = fingerprintOf("fatal");

/** Sends traffic for a while: one fatal request a second to a random instance, and others. */
void sendTraffic(QuarantineCluster &cluster, int seconds)
{
    constexpr int stepsEach = 20;
    for (int i = 0; i < seconds * stepsEach; ++i) {
        cluster.advance(Millis(1000 / stepsEach));
        cluster.request(cluster.pick(cluster.count()),
                        fingerprintOf(std::to_string(cluster.pick(1 << 30))), false);
        if (cluster.pick(stepsEach) == 0)
            cluster.request(cluster.pick(cluster.count()), fatal, true);
    }
}

/** A fault that is applied to the cluster before and during traffic. */
using Fault = std::function<void(QuarantineCluster &)>;

void noFault(QuarantineCluster &)
{ }

void killAll(QuarantineCluster &cluster)
{
    for (int i = 0; i < cluster.count(); ++i)
        cluster.kill(i);
    cluster.advance(Millis(1500));
    for (int i = 0; i < cluster.count(); ++i)
        cluster.restart(i);
}

void killInTurn(QuarantineCluster &cluster)
{
    for (int i = 0; i < cluster.count(); i += 2) {
        cluster.kill(i);
        cluster.advance(Millis(100));
        cluster.restart(i);
    }
}

void isolateOne(QuarantineCluster &cluster)
{
    const int isolated = cluster.pick(cluster.count());
    cluster.isCut = [isolated](int from, int to) { return from == isolated || to == isolated; };
    for (int i = 0; i < 4; ++i) {
        cluster.disturb(isolated);
        cluster.advance(Millis(1000));
    }
    cluster.isCut = [](int, int) { return false; };
    cluster.disturb(isolated);
}

void loseFrames(QuarantineCluster &cluster)
{
    cluster.lossPercent = 30;
}

void toggleStore(QuarantineCluster &cluster)
{
    cluster.isStoreDown = !cluster.isStoreDown;
}

void freezeSome(QuarantineCluster &cluster)
{
    for (int i = 0; i < cluster.count(); i += 3)
        cluster.frozen.insert(i);
    cluster.advance(Millis(2000));
    for (const int i : cluster.frozen)
        cluster.disturb(i);
    cluster.frozen.clear();
}

} // namespace

// Guards against a fatal request that each instance has to detect by itself, at the cost of
// engines each time.
TEST_CASE("a fatal request is quarantined at all instances within seconds under any fault")
{
    struct Row
    {
        const char *name;
        Fault fault;
    };
    for (const Row &row :
         {Row{"nothing", noFault}, Row{"all instances killed", killAll},
          Row{"instances killed in turn", killInTurn}, Row{"one instance isolated", isolateOne},
          Row{"frames lost", loseFrames}, Row{"store down", toggleStore},
          Row{"some instances frozen", freezeSome}}) {
        for (const int instances : {1, 6, 60}) {
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                CAPTURE(std::string(row.name));
                CAPTURE(instances);
                CAPTURE(seed);
                QuarantineCluster cluster(instances, 12, seed);
                cluster.attempts = seed % 2 == 0 ? 1 : 2;
                row.fault(cluster);
                sendTraffic(cluster, 12);
                row.fault(cluster);
                sendTraffic(cluster, 25);
                CHECK(cluster.lateSends <= 3);
                CHECK(cluster.endsUnder(fatal) >= QuarantineExchange::requestThreshold);
                CHECK(cluster.refused > 0);
            }
        }
    }
}

// Guards against instances that were unreachable during a quarantine and run the request again.
TEST_CASE("instances that were unreachable or restarted learn of a quarantine within seconds")
{
    const auto quarantine = [](QuarantineCluster &cluster) {
        for (UpstreamIncarnation incarnation = 1;
             incarnation <= QuarantineExchange::requestThreshold; ++incarnation)
            cluster.at(1).upstreamEnded(fatal, incarnation);
        cluster.advance(Millis(100));
    };
    QuarantineCluster cut(6, 12, 1);
    cut.isCut = [](int from, int to) { return from == 0 || to == 0; };
    quarantine(cut);
    CHECK(cut.at(0).level(fatal) == SuspicionLevel::None);
    cut.isCut = [](int, int) { return false; };
    cut.advance(Millis(3000));
    CHECK(cut.at(0).level(fatal) == SuspicionLevel::Quarantined);

    QuarantineCluster killed(6, 12, 1);
    quarantine(killed);
    killAll(killed);
    killed.advance(QuarantineStore::jitter);
    for (int i = 0; i < killed.count(); ++i)
        CHECK(killed.at(i).level(fatal) == SuspicionLevel::Quarantined);
}

// Guards against the loss of the whole fleet to a burst of one fatal request before it is detected.
TEST_CASE("a burst of one fatal request ends few engines")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        QuarantineCluster cluster(60, 60, seed);
        for (int i = 0; i < 200; ++i) {
            cluster.request(cluster.pick(60), fatal, true);
            cluster.advance(Millis(50));
        }
        CHECK(cluster.endsUnder(fatal) <= 8);
        CHECK(cluster.refused >= 190);
    }
}

// Guards against engines that fail for other reasons and get popular requests refused.
TEST_CASE("a popular request is not quarantined when engines fail for other reasons")
{
    const auto popular = fingerprintOf("popular");
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        QuarantineCluster cluster(60, 30, seed);
        for (int i = 0; i < 1500; ++i) {
            cluster.request(cluster.pick(60), popular, false);
            cluster.advance(Millis(20));
            if (i % 50 == 49)
                continue;
            if (const auto engine = cluster.engineRunning(popular); engine && i % 25 == 0)
                cluster.endEngine(*engine);
        }
        cluster.advance(Millis(1000));
        CHECK(cluster.endsUnder(popular) >= QuarantineExchange::requestThreshold);
        CHECK(cluster.refused == 0);
        CHECK(cluster.store.empty());
    }
}

// Guards against a quarantine that cannot end once its request is no longer fatal.
TEST_CASE("a completed request clears its suspicion at all instances and in the store")
{
    QuarantineCluster cluster(6, 12, 1);
    // Still running when the request is quarantined.
    cluster.request(0, fatal, false);
    for (UpstreamIncarnation incarnation = 1; incarnation <= QuarantineExchange::requestThreshold;
         ++incarnation)
        cluster.at(1).upstreamEnded(fatal, incarnation);
    cluster.advance(Millis(30));
    for (int i = 0; i < cluster.count(); ++i)
        CHECK(cluster.at(i).level(fatal) == SuspicionLevel::Quarantined);
    CHECK(cluster.store.size() == 1);
    cluster.advance(Millis(200));
    for (int i = 0; i < cluster.count(); ++i)
        CHECK(cluster.at(i).level(fatal) == SuspicionLevel::None);
    CHECK(cluster.store.empty());
}

// Guards against instances that start after the store lost a quarantine and run the request.
TEST_CASE("a quarantine that the store lost is written again by its owners")
{
    QuarantineCluster cluster(6, 12, 1);
    for (UpstreamIncarnation incarnation = 1; incarnation <= QuarantineExchange::requestThreshold;
         ++incarnation)
        cluster.at(1).upstreamEnded(fatal, incarnation);
    cluster.advance(Millis(200));
    REQUIRE(cluster.store.size() == 1);
    cluster.store.clear();
    for (int i = 0; i < cluster.count(); ++i)
        cluster.at(i).storeRestored();
    cluster.advance(QuarantineStore::jitter + Millis(200));
    CHECK(cluster.store.size() == 1);
}

// Guards against a quarantine without an end, and against a wrong retry time for callers.
TEST_CASE("a quarantine expires, and reports its remaining time until then")
{
    QuarantineCluster cluster(1, 12, 1);
    for (UpstreamIncarnation incarnation = 1; incarnation <= QuarantineExchange::requestThreshold;
         ++incarnation)
        cluster.at(0).upstreamEnded(fatal, incarnation);
    cluster.advance(Millis(100));
    CHECK(cluster.at(0).remainingQuarantine(fatal) == QuarantineTable::retention - Millis(100));
    CHECK(cluster.store.size() == 1);
    cluster.now = cluster.now + QuarantineTable::retention;
    CHECK_FALSE(cluster.at(0).remainingQuarantine(fatal));
    cluster.advance(QuarantineExchange::expireInterval);
    CHECK(cluster.store.empty());
}

// Guards against a quarantine that operators cannot end, or that an instance brings back.
TEST_CASE("a lifted quarantine ends at all instances and in the store, and does not come back")
{
    QuarantineCluster cluster(6, 12, 1);
    for (UpstreamIncarnation incarnation = 1; incarnation <= QuarantineExchange::requestThreshold;
         ++incarnation)
        cluster.at(1).upstreamEnded(fatal, incarnation);
    cluster.advance(Millis(200));
    REQUIRE(cluster.at(5).remainingQuarantine(fatal));
    REQUIRE(cluster.store.size() == 1);
    cluster.isCut = [](int from, int to) { return from == 0 || to == 0; };
    CHECK_FALSE(cluster.at(3).lift("unknown"));
    CHECK(cluster.at(3).lift(fatal.text()));
    cluster.advance(Millis(100));
    for (int i = 1; i < cluster.count(); ++i)
        CHECK(cluster.at(i).level(fatal) == SuspicionLevel::None);
    CHECK(cluster.store.empty());
    cluster.isCut = [](int, int) { return false; };
    cluster.advance(Millis::seconds(10));
    for (int i = 0; i < cluster.count(); ++i)
        CHECK(cluster.at(i).level(fatal) == SuspicionLevel::None);
    CHECK(cluster.store.empty());
}

// Guards against one malformed entry that keeps an instance from loading the others.
TEST_CASE("malformed entries of the store are skipped")
{
    QuarantineCluster cluster(1, 12, 1);
    for (UpstreamIncarnation incarnation = 1; incarnation <= QuarantineExchange::requestThreshold;
         ++incarnation)
        cluster.at(0).upstreamEnded(fatal, incarnation);
    cluster.advance(Millis(100));
    for (const char *bad :
         {"", "[]", "{}", "{\"ended\":7}", "{\"ended\":[-1]}", "{\"ended\":[\"x\"]}"})
        cluster.store["quarantine/" + fingerprintOf(bad).text()] = bad;
    cluster.store["quarantine/short"] = "{\"ended\":[1,2,3]}";
    killAll(cluster);
    cluster.advance(Millis(1500));
    CHECK(cluster.at(0).remainingQuarantine(fatal));
    CHECK(cluster.at(0).quarantines().size() == 1);
}

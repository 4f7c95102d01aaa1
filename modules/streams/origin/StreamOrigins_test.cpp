#include <doctest/doctest.h>

#include "streams/testing/StreamCluster.h"

#include <cstdlib>

using namespace cuminrail;
using cuminrail::testing::StreamCluster;

namespace {

/** Seeds of the random runs; more are run by hand. */
int seedCount()
{
    const char *text = std::getenv("CUMINRAIL_STREAM_SEEDS");
    return text == nullptr ? 40 : std::atoi(text);
}

/** One step of a release from one version to another, and back for odd steps of the second half. */
void releaseStep(StreamCluster &cluster, int number)
{
    const bool isBack = number >= 6 && number < 12;
    cluster.replaceUpstream(isBack ? "v1.1" : "v1", isBack ? "v1" : "v1.1");
}

void injectFault(StreamCluster &cluster)
{
    const int victim = cluster.pick(cluster.count());
    switch (cluster.pick(6)) {
    case 0:
    case 1:
        if (cluster.dead.count(victim) == 0)
            return cluster.kill(victim);
        return;
    case 2:
        cluster.frozen.insert(victim);
        return;
    case 3:
        cluster.isCut = [victim](int from, int to) { return from == victim || to == victim; };
        return;
    case 4:
        if (cluster.isRunning(victim))
            return cluster.stopAsPlanned(victim);
        return;
    default:
        cluster.lossPercent = 5;
        return;
    }
}

void endFaults(StreamCluster &cluster)
{
    cluster.frozen.clear();
    cluster.isCut = [](int, int) { return false; };
    cluster.lossPercent = 0;
    for (int i = 0; i < cluster.count(); ++i) {
        if (cluster.dead.count(i) > 0)
            cluster.start(i);
    }
}

void beginStreams(StreamCluster &cluster, int count)
{
    for (int i = 0; i < count; ++i)
        cluster.beginStream(cluster.pick(cluster.count()));
}

} // namespace

// Guards against events of two versions at instances that are cut, frozen, restarted or killed.
TEST_CASE("no stream has events of two versions, whatever happens to instances")
{
    StreamCluster::Counts all;
    for (int seed = 0; seed < seedCount(); ++seed) {
        CAPTURE(seed);
        StreamCluster cluster(6, 3, static_cast<std::uint64_t>(seed));
        for (int number = 0; number < 24; ++number) {
            beginStreams(cluster, 12);
            if (cluster.pick(3) > 0)
                releaseStep(cluster, number % 18);
            if (cluster.pick(2) == 0)
                injectFault(cluster);
            else if (cluster.pick(2) == 0)
                endFaults(cluster);
            cluster.advance(Millis(100 + cluster.pick(500)));
        }
        endFaults(cluster);
        cluster.advance(Millis(3000));
        CHECK(cluster.counts.mixed == 0);
        CHECK(cluster.counts.heardLate == 0);
        all.takenUp += cluster.counts.takenUp;
        all.possible += cluster.counts.possible;
        all.wentOn += cluster.counts.wentOn;
    }
    MESSAGE("taken up ", all.takenUp, ", possible ", all.possible, ", went on ", all.wentOn);
    CHECK(all.wentOn * 10 >= all.possible * 6);
}

// Guards against streams that end with the instance that began them.
TEST_CASE("streams go on while two upstreams of their version serve, their first instance killed")
{
    struct Row
    {
        std::string name;
        /** Instances of so many failure domains are killed at once; 0 for single instances. */
        int domainsLost;
        double least;
    };
    for (const Row &row : {Row{"single instances", 0, 0.95}, Row{"a domain", 1, 0.9}}) {
        CAPTURE(row.name);
        int possible = 0;
        int wentOn = 0;
        for (int seed = 0; seed < 10; ++seed) {
            StreamCluster cluster(6, 3, static_cast<std::uint64_t>(seed + 500));
            for (int number = 0; number < 18; ++number) {
                beginStreams(cluster, 20);
                releaseStep(cluster, number);
                cluster.advance(Millis(300));
                if (number % 4 != 1)
                    continue;
                const int victim = cluster.pick(cluster.count());
                for (int i = 0; i < cluster.count(); ++i) {
                    const bool isSameDomain = cluster.domainOf(i) == cluster.domainOf(victim);
                    if (i == victim || (row.domainsLost > 0 && isSameDomain))
                        cluster.kill(i);
                }
                cluster.advance(Millis(1000));
                endFaults(cluster);
            }
            CHECK(cluster.counts.mixed == 0);
            possible += cluster.counts.possible;
            wentOn += cluster.counts.wentOn;
        }
        MESSAGE(row.name, ": possible ", possible, ", went on ", wentOn);
        CHECK(possible > 100);
        CHECK(wentOn >= row.least * possible);
    }
}

// Guards against streams joined from two versions where no instance knows the first one any more.
TEST_CASE("no stream has events of two versions after all instances were killed at once")
{
    struct Row
    {
        std::string name;
        /** Upstreams of six that a release replaces before the end, and while no instance runs. */
        int replacedBefore;
        int replacedMeanwhile;
        Millis listDelay;
        bool isKilledAgain;
    };
    for (const Row &row : {Row{"two versions", 3, 0, Millis(0), false},
                           Row{"the old one just left", 6, 0, Millis(0), false},
                           Row{"the old one leaves meanwhile", 3, 3, Millis(0), false},
                           Row{"released meanwhile", 0, 6, Millis(0), false},
                           Row{"late list", 3, 3, Millis(1500), false},
                           Row{"one is killed again", 3, 3, Millis(0), true}}) {
        CAPTURE(row.name);
        int takenUp = 0;
        for (int seed = 0; seed < 10; ++seed) {
            CAPTURE(seed);
            StreamCluster cluster(6, 3, static_cast<std::uint64_t>(seed + 900));
            cluster.retryInterval = Millis(200);
            beginStreams(cluster, 40);
            cluster.advance(Millis(400));
            for (int i = 0; i < row.replacedBefore; ++i)
                cluster.replaceUpstream("v1", "v1.1");
            beginStreams(cluster, 40);
            cluster.advance(Millis(200));
            for (int i = 0; i < cluster.count(); ++i)
                cluster.kill(i);
            cluster.advance(Millis(500));
            for (int i = 0; i < row.replacedMeanwhile; ++i)
                cluster.replaceUpstream("v1", "v1.1");
            cluster.advance(Millis(500));
            for (int i = 0; i < cluster.count(); ++i) {
                cluster.start(i, {false, row.listDelay});
                cluster.advance(Millis(50));
            }
            if (row.isKilledAgain) {
                cluster.advance(Millis(500));
                cluster.kill(0);
                cluster.advance(Millis(500));
                cluster.start(0);
            }
            cluster.advance(Millis(4000));
            CHECK(cluster.counts.mixed == 0);
            CHECK(cluster.counts.heardLate == 0);
            takenUp += cluster.counts.takenUp;
        }
        CHECK(takenUp > 100);
    }
}

// Guards against an instance that takes the first version it lists for the first one there was.
TEST_CASE("an instance whose first list comes late knows of no stream that began before it")
{
    for (const Millis listDelay : {Millis(0), Millis(5000)}) {
        CAPTURE(listDelay.count());
        StreamCluster cluster(3, 3, 12);
        cluster.retryInterval = Millis(200);
        for (int i = 0; i < cluster.count(); ++i)
            cluster.kill(i);
        for (int i = 0; i < cluster.count(); ++i)
            cluster.start(i, {true, i == 0 ? listDelay : Millis(0)});
        cluster.advance(Millis(4400));
        for (int i = 0; i < 60; ++i)
            cluster.beginStream(1 + i % 2);
        cluster.advance(Millis(500));
        cluster.kill(1);
        cluster.kill(2);
        for (int i = 0; i < 6; ++i)
            cluster.replaceUpstream("v1", "v1.1");
        cluster.advance(Millis(1000));
        cluster.start(1);
        cluster.start(2);
        cluster.advance(Millis(4000));
        CHECK(cluster.counts.takenUp > 10);
        CHECK(cluster.counts.mixed == 0);
    }
}

// Guards against a caller that has an event while only the first instance knows its version.
TEST_CASE("the first event is passed on after other instances keep the stream's version")
{
    StreamCluster cluster(6, 3, 8);
    cluster.addUpstream("v1.1");
    cluster.advance(Millis(2000));
    for (int number = 0; number < 50; ++number) {
        const RecordKey key = StreamOrigins::keyOf("c", "stream", std::to_string(number));
        int keepers = -1;
        cluster.origins(0).began(key, StreamCluster::route(), 7, [&] {
            keepers = 0;
            for (int i = 1; i < cluster.count(); ++i)
                keepers += cluster.origins(i).records().find(key) ? 1 : 0;
        });
        cluster.advance(Millis(100));
        CHECK(keepers >= 2);
    }
}

// Guards against a stream that is taken for lost where the list of upstreams is a moment behind.
TEST_CASE(
    "a stream of a version that is not listed here yet waits for the list, for a bounded time")
{
    StreamCluster cluster(6, 3, 3);
    cluster.maxListDelay = Millis(200);
    const auto resolve = [&](const std::string &id, const std::string &version,
                             bool isListedLater) {
        const RecordKey key = StreamOrigins::keyOf("c", "stream", id);
        cluster.addUpstream("v1.1");
        cluster.advance(Millis(250));
        cluster.origins(0).began(key, StreamCluster::route(),
                                 StreamOrigins::valueOf("svc", version), [] {});
        cluster.advance(Millis(50));
        std::optional<StreamOrigin> origin;
        cluster.origins(1).resolve({key, id, StreamCluster::route()},
                                   [&origin](const StreamOrigin &found) { origin = found; });
        if (isListedLater)
            cluster.addUpstream(version);
        cluster.advance(StreamOrigins::repeatPeriod + Millis(200));
        return origin ? origin->status : OriginStatus::Unknown;
    };
    CHECK(resolve("a", "v2", true) == OriginStatus::Known);
    CHECK(resolve("b", "v3", false) == OriginStatus::Gone);
}

// Guards against frames for each stream, and refusals, where one version serves.
TEST_CASE("while one version serves nothing is sent, and restarted instances take streams up")
{
    StreamCluster cluster(6, 3, 5);
    const std::uint64_t frames = cluster.frames;
    beginStreams(cluster, 60);
    cluster.advance(Millis(800));
    CHECK(cluster.frames == frames);
    cluster.kill(0);
    cluster.kill(1);
    cluster.start(0);
    cluster.start(1);
    cluster.advance(Millis(3000));
    CHECK(cluster.counts.takenUp > 10);
    CHECK(cluster.counts.possible == cluster.counts.takenUp);
    CHECK(cluster.counts.wentOn == cluster.counts.takenUp);
}

// Guards against streams that nobody knows, since they began before a second version was listed.
TEST_CASE("streams begun while one version served go on after a second one is listed")
{
    StreamCluster cluster(6, 3, 9);
    cluster.maxListDelay = Millis(300);
    beginStreams(cluster, 60);
    cluster.advance(Millis(400));
    cluster.addUpstream("v1.1");
    cluster.advance(Millis(400));
    cluster.kill(2);
    cluster.kill(3);
    cluster.advance(Millis(2000));
    CHECK(cluster.counts.takenUp > 10);
    CHECK(cluster.counts.wentOn >= cluster.counts.takenUp * 95 / 100);
    CHECK(cluster.counts.mixed == 0);
}

// Guards against a guess by an instance that reaches no other one.
TEST_CASE("an instance cut from its peers refuses streams that it did not begin, at once")
{
    StreamCluster cluster(6, 3, 4);
    cluster.addUpstream("v1.1");
    cluster.advance(Millis(3000));
    cluster.isCut = [](int from, int to) { return from == 0 || to == 0; };
    std::optional<StreamOrigin> origin;
    const Millis askedAt = cluster.now;
    cluster.origins(0).resolve({1, "elsewhere", StreamCluster::route()},
                               [&origin](const StreamOrigin &found) { origin = found; });
    while (!origin && cluster.now - askedAt < Millis(1000))
        cluster.advance(Millis(5));
    REQUIRE(origin);
    CHECK(origin->status == OriginStatus::Unreachable);
    CHECK(cluster.now - askedAt <= Millis(120));
}

// Guards against streams of a split route that go on at another service than the first one.
TEST_CASE("a stream of a split route stays at its service, also when the route is changed")
{
    StreamCluster cluster(3, 3, 4);
    Route split = StreamCluster::route();
    split.targets = {{"svc", 1}, {"other", 1}};
    const RecordKey key = StreamOrigins::keyOf("c", "stream", "r");
    bool isPassedOn = false;
    cluster.origins(0).began(key, split, StreamOrigins::valueOf("svc", "v1"),
                             [&isPassedOn] { isPassedOn = true; });
    cluster.advance(Millis(200));
    CHECK(isPassedOn);
    const auto resolve = [&](const Route &route, const std::string &id) {
        std::optional<StreamOrigin> origin;
        cluster.origins(1).resolve({StreamOrigins::keyOf("c", "stream", id), id, route},
                                   [&origin](const StreamOrigin &found) { origin = found; });
        cluster.advance(Millis(800));
        return origin.value_or(StreamOrigin());
    };
    CHECK(resolve(split, "r").status == OriginStatus::Known);
    CHECK(resolve(split, "r").service == "svc");
    Route moved = split;
    moved.targets = {{"other", 1}};
    CHECK(resolve(moved, "r").status == OriginStatus::Gone);
    CHECK(resolve(split, "s").status == OriginStatus::Unknown);
}

#include <doctest/doctest.h>

#include "upstreamlimits/testing/LimitCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/** Sends traffic for a while, more of it to a quarter of the instances. */
void sendTraffic(LimitCluster &cluster, int perSecond, int seconds)
{
    for (int i = 0; i < seconds * perSecond; ++i) {
        const int instanceCount =
            cluster.pick(2) == 0 ? cluster.count() : (cluster.count() + 3) / 4;
        cluster.request(cluster.pick(instanceCount));
        cluster.advance(Millis(1000 / perSecond));
    }
}

using Fault = std::function<void(LimitCluster &)>;

void noFault(LimitCluster &)
{ }

void killInTurn(LimitCluster &cluster)
{
    for (int i = 0; i < cluster.count(); i += 2) {
        cluster.kill(i);
        sendTraffic(cluster, 100, 1);
        cluster.restart(i);
    }
}

void killAll(LimitCluster &cluster)
{
    for (int i = 0; i < cluster.count(); ++i)
        cluster.kill(i);
    cluster.advance(Millis(1000));
    for (int i = 0; i < cluster.count(); ++i)
        cluster.restart(i);
}

void loseFrames(LimitCluster &cluster)
{
    cluster.lossPercent = 10;
}

void slowFrames(LimitCluster &cluster)
{
    cluster.maxDelay = Millis(60);
}

void isolateOne(LimitCluster &cluster)
{
    cluster.isCut = [](int from, int to) { return from == 0 || to == 0; };
    for (int i = 0; i < 8; ++i) {
        cluster.excuse(0);
        sendTraffic(cluster, 100, 1);
    }
    cluster.isCut = [](int, int) { return false; };
    cluster.excuse(0);
}

void freezeSome(LimitCluster &cluster)
{
    for (int i = 0; i < cluster.count(); i += 3)
        cluster.frozen.insert(i);
    sendTraffic(cluster, 100, 2);
    for (const int i : cluster.frozen)
        cluster.excuse(i);
    cluster.frozen.clear();
}

std::size_t allowed(double rate)
{
    constexpr double window = 4;
    return static_cast<std::size_t>(1.5 * rate * window + 5);
}

} // namespace

// Guards against overloaded upstreams that get the sum of what each instance alone considers to be
// within the limit.
TEST_CASE("all instances together keep to a stated limit under any fault")
{
    struct Row
    {
        const char *name;
        Fault fault;
    };
    for (const Row &row :
         {Row{"nothing", noFault}, Row{"instances killed in turn", killInTurn},
          Row{"all instances killed", killAll}, Row{"frames lost", loseFrames},
          Row{"frames delayed", slowFrames}, Row{"one instance isolated", isolateOne},
          Row{"some instances frozen", freezeSome}}) {
        for (const int instances : {1, 6, 40}) {
            for (const double rate : {0.3, 1.0, 8.0}) {
                for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                    CAPTURE(std::string(row.name));
                    CAPTURE(instances);
                    CAPTURE(rate);
                    CAPTURE(seed);
                    LimitCluster cluster(instances, {rate, rate, {}, {}, {}}, seed);
                    const Millis startedAt = cluster.now;
                    sendTraffic(cluster, 100, 10);
                    row.fault(cluster);
                    sendTraffic(cluster, 100, 12);
                    for (const std::size_t upstream : {0, 1})
                        CHECK(cluster.busiest(upstream, startedAt + Millis(3000)) <= allowed(rate));
                    CHECK(cluster.refused == 0);
                }
            }
        }
    }
}

// Guards against callers who are refused although the upstreams of their service have capacity.
TEST_CASE("when all upstreams are limited, most of what they accept is used from any instance")
{
    for (const int instances : {1, 6, 40}) {
        for (const double rate : {1.0, 5.0, 20.0}) {
            CAPTURE(instances);
            CAPTURE(rate);
            LimitCluster cluster(instances, {rate, rate, rate}, 1);
            sendTraffic(cluster, 100, 5);
            const Millis since = cluster.now;
            sendTraffic(cluster, 100, 20);
            double used = 0;
            for (const std::size_t upstream : {0, 1, 2}) {
                used += static_cast<double>(cluster.arrivals(upstream, since));
                CHECK(cluster.busiest(upstream, since) <= allowed(rate));
            }
            CHECK(used >= 0.75 * 3 * rate * 20);
            CHECK(cluster.refused > 0);
        }
    }
}

// Guards against upstreams that stay underused after their overload ends.
TEST_CASE("all instances learn of the end of a limit within seconds")
{
    LimitCluster cluster(40, {2.0, {}}, 1);
    sendTraffic(cluster, 100, 5);
    for (int i = 0; i < cluster.count(); ++i)
        CHECK(cluster.at(i).hasLimits());
    cluster.setLimit(0, std::nullopt);
    sendTraffic(cluster, 100, 3);
    for (int i = 0; i < cluster.count(); ++i)
        CHECK_FALSE(cluster.at(i).hasLimits());
    const Millis since = cluster.now;
    sendTraffic(cluster, 100, 5);
    CHECK(cluster.arrivals(0, since) >= 200);
}

// Guards against hundreds of instances that each send one request before they know of a limit.
TEST_CASE("a limit received by one instance is announced to all within 50 ms")
{
    LimitCluster cluster(100, {1.0, {}}, 1);
    cluster.at(3).updateLimit(0, 1.0);
    cluster.advance(Millis(50));
    for (int i = 0; i < cluster.count(); ++i)
        CHECK(cluster.at(i).hasLimits());
}

// Guards against idle instances that hold credits while others have requests.
TEST_CASE("an unused credit is returned to the owner")
{
    LimitCluster cluster(6, {1.0, {}}, 1);
    for (int i = 0; i < cluster.count(); ++i)
        cluster.at(i).updateLimit(0, 1.0);
    cluster.advance(Millis(50));
    std::uint64_t returned = 0;
    for (int i = 0; i < 10; ++i) {
        cluster.at(i % 5).prefetchCredits({0});
        cluster.advance(Millis(1000));
    }
    for (int i = 0; i < cluster.count(); ++i)
        returned += cluster.at(i).stats().givenBack;
    CHECK(returned >= 5);
    bool isGranted = false;
    for (int i = 0; i < 5 && !isGranted; ++i) {
        cluster.at(5).acquire(0, [&](const CreditResult &answer) { isGranted = answer.isGranted; });
        cluster.advance(Millis(100));
    }
    CHECK(isGranted);
}

// Guards against requests that wait for ever for a credit of an upstream whose limit ended.
TEST_CASE("requests waiting for a credit proceed when the limit ends")
{
    LimitCluster cluster(6, {1.0, {}}, 1);
    for (int i = 0; i < cluster.count(); ++i)
        cluster.at(i).updateLimit(0, 1.0);
    cluster.advance(Millis(50));
    int answered = 0;
    for (int i = 0; i < cluster.count(); ++i) {
        cluster.at(i).acquire(0, [&](const CreditResult &) { ++answered; });
        cluster.at(i).updateLimit(0, std::nullopt);
    }
    cluster.advance(Millis(100));
    CHECK(answered == cluster.count());
}

// Guards against owners that do not know of a limit and grant every query.
TEST_CASE("an owner that did not receive a limit learns it with the query and keeps to it")
{
    LimitCluster cluster(6, {{}, {}, {}, {}, {}, {}}, 1);
    for (UpstreamIncarnation incarnation = 0; incarnation < 6; ++incarnation) {
        CAPTURE(incarnation);
        cluster.at(0).handleFrame(
            "i-1", encodeLimitMessage(LimitAnnouncement{false, {{incarnation, 1.0, {}}}}));
        int granted = 0;
        for (int i = 0; i < 20; ++i) {
            cluster.at(0).acquire(incarnation, [&](const CreditResult &answer) {
                granted += answer.isGranted ? 1 : 0;
                cluster.at(0).use(incarnation);
            });
            cluster.advance(Millis(10));
        }
        CHECK(granted <= 5);
    }
}

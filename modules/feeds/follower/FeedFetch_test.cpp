#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

#include <algorithm>
#include <map>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::size_t starting = 2;

std::size_t countStarted(const FeedCluster &cluster, std::size_t upstreams)
{
    return static_cast<std::size_t>(
        std::count_if(cluster.instances.begin(), cluster.instances.end(), [&](const auto &each) {
            // The configuration is one object more.
            return each.known.size() == upstreams + 1;
        }));
}

} // namespace

// Guards against a start of all instances that reads the whole list once for each of them, at the
// rate of the store.
TEST_CASE("instances that start together read the store in the watchers only")
{
    struct Row
    {
        std::size_t domains;
        std::size_t instancesPerDomain;
        int upstreams;
        Millis limit;
    };
    for (const Row &row : {Row{1, 60, 3000, Millis(2000)}, Row{1, 48, 6000, Millis(2000)},
                           Row{5, 200, 40, Millis(1500)}, Row{5, 400, 20, Millis(1500)}}) {
        CAPTURE(row.instancesPerDomain);
        CAPTURE(row.upstreams);
        FeedCluster cluster(row.domains, row.instancesPerDomain, true, 7, row.upstreams, true);
        cluster.linkCapacityBytesPerMs = FeedCluster::smallLinkBytesPerMs;
        cluster.scheduler.runFor(row.limit);
        CHECK(countStarted(cluster, static_cast<std::size_t>(row.upstreams))
              == cluster.instances.size());
        CHECK(cluster.store.counts().lists == row.domains * watchers * feedKinds);
    }
}

// Guards against an instance that never starts since the one from which it fetches is gone, or the
// watchers know nothing themselves.
TEST_CASE("without a reply from its sources an instance lists the store itself")
{
    FeedCluster cluster(1, 60, true, 7, 50, true);
    cluster.isLost = [](std::size_t from, std::size_t) { return from < watchers; };
    cluster.scheduler.runFor(FeedFollower::maxPeerStateWait + Millis(500));
    CHECK(countStarted(cluster, 50) == cluster.instances.size());
}

// Guards against one instance that sends the state to hundreds of others over its own link.
TEST_CASE("no instance is the first source of more than a few others")
{
    for (const std::size_t members : {std::size_t{9}, std::size_t{200}, std::size_t{512}}) {
        CAPTURE(members);
        std::map<std::size_t, std::size_t> takers;
        std::map<std::size_t, int> depth;
        for (std::size_t rank = starting; rank < members; ++rank) {
            const std::size_t source = FeedFetch::sourceRank(rank, starting);
            REQUIRE(source < rank);
            CHECK(++takers[source] <= FeedFetch::fanOut);
            depth[rank] = depth[source] + 1;
            CHECK(depth[rank] <= 3);
        }
    }
}

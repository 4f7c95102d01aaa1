#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Fault = std::function<void(FeedCluster &, Millis age)>;

/** The servers write their entries again, as they do after the store came back from a copy. */
void writeAgain(FeedCluster &cluster)
{
    for (int i = 0; i < 80; ++i)
        cluster.store.write("upstreams/u-" + std::to_string(i), "ready");
    cluster.store.write("upstreams/u-7", "leaving");
    cluster.store.write("upstreams/u-new", "ready");
    cluster.store.remove("upstreams/u-9");
}

void restoreOnly(FeedCluster &cluster, Millis age)
{
    cluster.store.restore(age);
}

void awayBefore(FeedCluster &cluster, Millis age)
{
    cluster.network.setDown(FakeObjectStore::endpoint, true);
    cluster.scheduler.runFor(Millis(2500));
    cluster.store.restore(age);
    cluster.network.setDown(FakeObjectStore::endpoint, false);
}

void watcherCutOff(FeedCluster &cluster, Millis age)
{
    cluster.setCut(0, true);
    cluster.store.restore(age);
    cluster.scheduler.runFor(Millis(3000));
    cluster.setCut(0, false);
}

void twiceInARow(FeedCluster &cluster, Millis age)
{
    cluster.store.restore(age);
    cluster.scheduler.runFor(Millis(900));
    cluster.store.restore(age);
}

} // namespace

// Guards against instances that keep what the store lost, or ignore what it gives out again as
// older.
TEST_CASE("after the store came back from a copy all instances know its state")
{
    struct Row
    {
        const char *name;
        Fault fault;
    };
    for (const Row &row :
         {Row{"nothing else", restoreOnly}, Row{"the store was away before", awayBefore},
          Row{"a watcher is cut off from it", watcherCutOff}, Row{"twice in a row", twiceInARow}}) {
        for (const bool isShared : {false, true}) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                CAPTURE(std::string(row.name));
                CAPTURE(isShared);
                CAPTURE(seed);
                FeedCluster cluster(2, isShared ? 12 : 3, isShared, seed);
                cluster.scheduler.runFor(Millis::seconds(8));
                cluster.store.write("upstreams/u-lost", "ready");
                cluster.scheduler.runFor(Millis(1500));
                row.fault(cluster, Millis(2000));
                cluster.scheduler.runFor(Millis(1000));
                writeAgain(cluster);
                cluster.scheduler.runFor(Millis::seconds(12));
                for (const char *upstream : {"u-3", "u-7", "u-9", "u-new", "u-lost"}) {
                    CAPTURE(std::string(upstream));
                    CHECK(cluster.countUnaware(std::string("upstreams/") + upstream) == 0);
                }
            }
        }
    }
}

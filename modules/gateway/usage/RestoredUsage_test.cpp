#include <doctest/doctest.h>

#include "gateway/testing/UsageCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Takeover = std::function<void(UsageCluster &)>;

/** Returns how many of the windows that ended in the run were reported. */
std::size_t reportedWindows(const UsageCluster &cluster)
{
    return cluster.reports.size();
}

} // namespace

// Guards against a window that is sealed again with counts that came in after its report.
TEST_CASE("a window whose seal the store lost is not reported with other counts")
{
    struct Row
    {
        const char *name;
        Takeover takeover;
        bool isComplete;
    };
    for (const Row &row :
         {Row{"the holder stays", [](UsageCluster &) {}, true},
          Row{"another instance takes over", [](UsageCluster &cluster) { cluster.move(1); }, false},
          Row{"it takes over later",
              [](UsageCluster &cluster) {
                  cluster.run(Millis::seconds(6));
                  cluster.move(1);
              },
              false},
          Row{"one that has just started takes over",
              [](UsageCluster &cluster) {
                  cluster.start(3);
                  cluster.followsEarlierEra = true;
                  cluster.move(3);
              },
              false}}) {
        for (const Millis age : {Millis(1500), Millis(6000)}) {
            for (std::uint64_t seed = 1; seed <= 8; ++seed) {
                CAPTURE(std::string(row.name));
                CAPTURE(age.count());
                CAPTURE(seed);
                UsageCluster cluster(3, seed);
                cluster.run(Millis::seconds(16));
                // One instance writes its counts only after windows were sealed without them.
                cluster.processes[2]->pauseUntil(cluster.scheduler.now() + Millis(11000));
                cluster.run(Millis(12000) + Millis(static_cast<std::int64_t>(seed) * 300));
                cluster.restore(age);
                row.takeover(cluster);
                cluster.run(Millis::seconds(40));
                CHECK(cluster.isEachWindowOnce());
                const auto windows = static_cast<std::size_t>(
                    (cluster.scheduler.now().count() - 7000) / windowMillis);
                // A window that another holder may have reported is left out; few end that close
                // before the loss.
                CHECK(reportedWindows(cluster) + (row.isComplete ? 0 : 4) >= windows);
            }
        }
    }
}

// Guards against windows that are never reported, as the last counts before the loss were gone.
TEST_CASE("ledgers that the store lost are written again without new requests")
{
    for (const bool isShared : {false, true}) {
        CAPTURE(isShared);
        UsageCluster cluster(3, 1);
        if (isShared)
            cluster.share({1, 2});
        cluster.run(Millis(13900));
        cluster.run(Millis(1500), false);
        cluster.restore(Millis(4000));
        cluster.run(Millis::seconds(20), false);
        std::uint64_t sum = 0;
        for (const auto &[window, figures] : cluster.reports)
            sum += cluster.reported(window);
        CHECK(cluster.isEachWindowOnce());
        CHECK(sum == 3 * 139);
    }
}

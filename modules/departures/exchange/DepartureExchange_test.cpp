#include <doctest/doctest.h>

#include "departures/testing/DepartureCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr UpstreamIncarnation leaving = 4711;

} // namespace

// Guards against instances that each learn of a departure at the cost of a caller.
TEST_CASE("a departure reported at one instance is known at all of them within 50 ms")
{
    for (const int instances : {1, 6, 60, 370}) {
        CAPTURE(instances);
        DepartureCluster cluster(instances, 1);
        cluster.at(0).report(leaving);
        cluster.advance(Millis(50));
        CHECK(cluster.knowing(leaving) == instances);
        CHECK(cluster.learned == instances);
    }
}

// Guards against a flood of frames when all instances hear from the same upstream at once.
TEST_CASE("a departure that all instances report together costs a few frames for each of them")
{
    constexpr int instances = 370;
    DepartureCluster cluster(instances, 1);
    for (int i = 0; i < instances; ++i)
        cluster.at(i).report(leaving);
    cluster.advance(Millis(500));
    CHECK(cluster.knowing(leaving) == instances);
    constexpr int owners = DepartureExchange::ownersPerUpstream;
    // A report to each owner, an announcement by each, and one round of anti-entropy.
    CHECK(cluster.frames <= (2 * owners + 1) * instances);
}

// Guards against an instance that never learns of a departure: lost frames, owners that are dead,
// a freeze, a restart, a link that was cut.
TEST_CASE("every instance learns of a departure, whatever it missed")
{
    struct Row
    {
        const char *name;
        std::function<void(DepartureCluster &)> before;
        std::function<void(DepartureCluster &)> after;
    };
    const auto nothing = [](DepartureCluster &) {};
    for (const Row &row : {
             Row{"frames lost", [](DepartureCluster &cluster) { cluster.lossPercent = 60; },
                 [](DepartureCluster &cluster) { cluster.lossPercent = 10; }},
             Row{"every third dead",
                 [](DepartureCluster &cluster) {
                     for (int i = 1; i < cluster.count(); i += 3)
                         cluster.dead.insert(i);
                 },
                 nothing},
             Row{"restarted", nothing,
                 [](DepartureCluster &cluster) {
                     for (int i = 1; i < cluster.count(); ++i)
                         cluster.start(i);
                 }},
             Row{"frozen",
                 [](DepartureCluster &cluster) {
                     for (int i = 1; i < cluster.count(); i += 2)
                         cluster.frozen.insert(i);
                 },
                 [](DepartureCluster &cluster) { cluster.frozen.clear(); }},
             Row{"cut off",
                 [](DepartureCluster &cluster) {
                     cluster.isCut = [](int from, int to) { return from == 0 || to == 0; };
                 },
                 [](DepartureCluster &cluster) { cluster.isCut = [](int, int) { return false; }; }},
         }) {
        for (const int instances : {6, 60}) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                CAPTURE(std::string(row.name));
                CAPTURE(instances);
                CAPTURE(seed);
                DepartureCluster cluster(instances, seed);
                row.before(cluster);
                cluster.at(0).report(leaving);
                cluster.advance(Millis(500));
                row.after(cluster);
                cluster.advance(Millis::seconds(30));
                CHECK(cluster.knowing(leaving)
                      == instances - static_cast<int>(cluster.dead.size()));
            }
        }
    }
}

// Guards against departures that instances keep telling one another for ever.
TEST_CASE("a departure expires everywhere, and no peer brings it back")
{
    DepartureCluster cluster(6, 1);
    cluster.at(0).report(leaving);
    cluster.advance(Millis(200));
    CHECK(cluster.knowing(leaving) == 6);
    cluster.advance(DepartureExchange::retention + Millis::seconds(3));
    CHECK(cluster.knowing(leaving) == 0);
    CHECK(cluster.learned == 6);
}

// Guards against a release of many upstreams of which some departures are never told.
TEST_CASE("more departures than one frame holds are all told, and the table stays bounded")
{
    DepartureCluster cluster(6, 1);
    constexpr UpstreamIncarnation departures = 600;
    for (UpstreamIncarnation upstream = 1; upstream <= departures; ++upstream)
        cluster.at(0).report(upstream);
    cluster.advance(Millis(500));
    for (UpstreamIncarnation upstream = 1; upstream <= departures; ++upstream)
        CHECK(cluster.knowing(upstream) == 6);
    for (UpstreamIncarnation upstream = 1; upstream <= 2 * DepartureExchange::maxEntries;
         ++upstream)
        cluster.at(0).report(upstream);
    CHECK(cluster.at(0).size() == DepartureExchange::maxEntries);
    CHECK(cluster.at(0).isKnown(2 * DepartureExchange::maxEntries));
}

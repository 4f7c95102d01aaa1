#include "configsync/measure/ConfigCluster.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis kSettle = Millis::seconds(90);
constexpr Millis kRest = Millis::seconds(20);
constexpr Millis kLimit = Millis::seconds(60);
constexpr std::size_t kChanges = 5;

std::uint64_t callsOf(const StoreCallCounts &counts)
{
    return counts.gets + counts.lists + counts.puts + counts.removes + counts.watches;
}

void measureChange(ConfigCluster &cluster, std::size_t change, ConfigFigures &figures)
{
    const std::string key = ConfigCluster::keyHash(change);
    cluster.runUntilInForce(cluster.apply({key}, {}), kLimit);
    cluster.runFor(Millis::seconds(3));
    const Millis from = cluster.now();
    const std::uint64_t generation = cluster.apply({}, {key});
    Millis median = Millis::never();
    Millis refusedByAll = Millis::never();
    while (cluster.countInForce(generation) < cluster.size() && cluster.now() < from + kLimit) {
        cluster.runFor(Millis(5));
        if (median == Millis::never() && cluster.countInForce(generation) * 2 >= cluster.size())
            median = cluster.now() - from;
        std::size_t accepting = 0;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            accepting += cluster.accepts(i, key) ? 1 : 0;
        if (accepting == 0 && refusedByAll == Millis::never())
            refusedByAll = cluster.now() - from;
    }
    figures.inForceMedian = std::max(figures.inForceMedian, median);
    figures.inForceWorst = std::max(figures.inForceWorst, cluster.now() - from);
    figures.withdrawnWorst = std::max(figures.withdrawnWorst, refusedByAll);
}

void measureRest(ConfigCluster &cluster, ConfigFigures &figures)
{
    cluster.instances().resetCounts();
    const std::uint64_t before = callsOf(cluster.store().counts());
    std::vector<Millis> ages;
    const Millis end = cluster.now() + kRest;
    while (cluster.now() < end) {
        cluster.runFor(Millis(500));
        for (std::size_t i = 0; i < cluster.size(); ++i)
            ages.push_back(cluster.config(i).freshness(cluster.now()).storeAge);
    }
    std::sort(ages.begin(), ages.end());
    figures.ageMedian = ages[ages.size() / 2];
    figures.ageWorst = ages.back();
    figures.storeCallsPerSecond =
        double(callsOf(cluster.store().counts()) - before) / kRest.toSeconds();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const double rate = double(cluster.instances().at(i).bytesSent) / kRest.toSeconds();
        figures.bytesPerSecond += rate / double(cluster.size());
        figures.worstBytesPerSecond = std::max(figures.worstBytesPerSecond, rate);
        figures.watchers += cluster.config(i).isWatching() ? 1 : 0;
    }
}

void measureOutage(ConfigCluster &cluster, Millis outage, ConfigFigures &figures)
{
    cluster.setStoreOut(true);
    cluster.runFor(outage);
    for (std::size_t i = 0; i < cluster.size(); ++i)
        figures.refusedInOutage += cluster.config(i).freshness(cluster.now()).mayServe ? 0 : 1;
    cluster.setStoreOut(false);
    std::uint64_t before = callsOf(cluster.store().counts());
    for (int second = 0; second < 60; ++second) {
        cluster.runFor(Millis::seconds(1));
        const std::uint64_t after = callsOf(cluster.store().counts());
        figures.worstReturnCallsPerSecond =
            std::max(figures.worstReturnCallsPerSecond, double(after - before));
        before = after;
    }
}

} // namespace

ConfigFigures measureConfigSync(const ClusterShape &shape, Millis outage)
{
    ConfigFigures figures;
    figures.instances = shape.instances;
    ConfigCluster cluster(shape);
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(kSettle);
    for (std::size_t change = 0; change < kChanges; ++change)
        measureChange(cluster, change, figures);
    cluster.runFor(kRest);
    measureRest(cluster, figures);
    measureOutage(cluster, outage, figures);
    return figures;
}

} // namespace cuminrail

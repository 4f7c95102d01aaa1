#include "configsync/measure/ConfigCluster.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis kWarmUp = Millis::seconds(90);
constexpr Millis kSteadyStateDuration = Millis::seconds(20);
constexpr Millis kLimit = Millis::seconds(60);
constexpr std::size_t kChanges = 5;

std::uint64_t callsOf(const StoreCallCounts &counts)
{
    return counts.gets + counts.lists + counts.puts + counts.removes + counts.watches;
}

void measureChange(ConfigCluster &cluster, std::size_t change, ConfigSyncMeasurement &measurement)
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
    measurement.inForceMedian = std::max(measurement.inForceMedian, median);
    measurement.inForceWorst = std::max(measurement.inForceWorst, cluster.now() - from);
    measurement.withdrawnWorst = std::max(measurement.withdrawnWorst, refusedByAll);
}

void measureSteadyState(ConfigCluster &cluster, ConfigSyncMeasurement &measurement)
{
    cluster.instances().resetCounts();
    const std::uint64_t before = callsOf(cluster.store().counts());
    std::vector<Millis> ages;
    const Millis end = cluster.now() + kSteadyStateDuration;
    while (cluster.now() < end) {
        cluster.runFor(Millis(500));
        for (std::size_t i = 0; i < cluster.size(); ++i)
            ages.push_back(cluster.config(i).freshness(cluster.now()).storeAge);
    }
    std::sort(ages.begin(), ages.end());
    measurement.ageMedian = ages[ages.size() / 2];
    measurement.ageWorst = ages.back();
    measurement.storeCallsPerSecond =
        double(callsOf(cluster.store().counts()) - before) / kSteadyStateDuration.toSeconds();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const double rate =
            double(cluster.instances().at(i).bytesSent) / kSteadyStateDuration.toSeconds();
        measurement.bytesPerSecond += rate / double(cluster.size());
        measurement.worstBytesPerSecond = std::max(measurement.worstBytesPerSecond, rate);
        measurement.watchers += cluster.config(i).isWatching() ? 1 : 0;
    }
}

void measureOutage(ConfigCluster &cluster, Millis outage, ConfigSyncMeasurement &measurement)
{
    cluster.setStoreUnavailable(true);
    cluster.runFor(outage);
    for (std::size_t i = 0; i < cluster.size(); ++i)
        measurement.refusedInOutage += cluster.config(i).freshness(cluster.now()).mayServe ? 0 : 1;
    cluster.setStoreUnavailable(false);
    std::uint64_t before = callsOf(cluster.store().counts());
    for (int second = 0; second < 60; ++second) {
        cluster.runFor(Millis::seconds(1));
        const std::uint64_t after = callsOf(cluster.store().counts());
        measurement.worstCallsPerSecondAfterOutage =
            std::max(measurement.worstCallsPerSecondAfterOutage, double(after - before));
        before = after;
    }
}

} // namespace

ConfigSyncMeasurement measureConfigSync(const ClusterShape &shape, Millis outage)
{
    ConfigSyncMeasurement measurement;
    measurement.instances = shape.instances;
    ConfigCluster cluster(shape);
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(kWarmUp);
    for (std::size_t change = 0; change < kChanges; ++change)
        measureChange(cluster, change, measurement);
    cluster.runFor(kSteadyStateDuration);
    measureSteadyState(cluster, measurement);
    measureOutage(cluster, outage, measurement);
    return measurement;
}

} // namespace cuminrail

#include "membership/measure/MembershipMeasure.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis kStep{10};
constexpr Millis kConvergenceStep{500};
constexpr Millis kConvergenceLimit = Millis::minutes(5);
constexpr Millis kSteadyStateDuration = Millis::seconds(30);
constexpr Millis kPropagationLimit = Millis::seconds(60);
constexpr std::size_t kFacts = 5;

/** Time until half and until all of a set of events had occurred. */
struct Distribution
{
    Millis median;
    Millis worst;
};

Distribution distributionOf(std::vector<Millis> instants, Millis from)
{
    std::sort(instants.begin(), instants.end());
    if (instants.empty())
        return Distribution{Millis::never(), Millis::never()};
    return Distribution{instants[instants.size() / 2] - from, instants.back() - from};
}

void converge(VirtualCluster &cluster, MembershipMeasurement &measurement)
{
    cluster.startAll();
    while (!cluster.isConverged() && cluster.now() < kConvergenceLimit)
        cluster.runFor(kConvergenceStep);
    measurement.convergenceTime = cluster.now();
}

/**
    Waits until the updates from the start have been sent, so that they are not counted as
    steady-state traffic.
*/
void drainUpdates(VirtualCluster &cluster)
{
    const Millis limit = cluster.now() + kConvergenceLimit;
    std::size_t pending = 1;
    while (pending > 0 && cluster.now() < limit) {
        cluster.runFor(Millis::seconds(1));
        pending = 0;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            pending += cluster.membership(i).pendingUpdates();
        if (pending < cluster.size())
            return;
    }
}

void measureSteadyState(VirtualCluster &cluster, MembershipMeasurement &measurement)
{
    drainUpdates(cluster);
    cluster.resetCounts();
    cluster.runFor(kSteadyStateDuration);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const double rate = double(cluster.at(i).bytesSent) / kSteadyStateDuration.toSeconds();
        measurement.bytesPerSecond += rate / double(cluster.size());
        measurement.worstBytesPerSecond = std::max(measurement.worstBytesPerSecond, rate);
        measurement.framesPerSecond += double(cluster.at(i).framesSent)
            / kSteadyStateDuration.toSeconds() / double(cluster.size());
    }
}

void measureFacts(VirtualCluster &cluster, MembershipMeasurement &measurement)
{
    for (std::size_t round = 1; round <= kFacts; ++round) {
        std::vector<Millis> instants;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.at(i).onFact = [&](const UrgentFact &) { instants.push_back(cluster.now()); };
        const Millis from = cluster.now();
        const std::size_t origin = round * 7 % cluster.size();
        cluster.membership(origin).broadcast(
            from, UrgentFact{UrgentFactKind::KeyWithdrawn, std::string(64, 'a'), round});
        while (instants.size() + 1 < cluster.size() && cluster.now() < from + kPropagationLimit)
            cluster.runFor(Millis(1));
        const Distribution distribution = distributionOf(instants, from);
        measurement.factMedian = std::max(measurement.factMedian, distribution.median);
        measurement.factWorst = std::max(measurement.factWorst, distribution.worst);
    }
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).onFact = nullptr;
}

void measureCrash(VirtualCluster &cluster, MembershipMeasurement &measurement)
{
    const std::size_t victim = cluster.size() - 1;
    std::vector<Millis> instants;
    std::vector<bool> hasNoticed(cluster.size(), false);
    const Millis from = cluster.now();
    cluster.kill(victim);
    while (instants.size() + 1 < cluster.size() && cluster.now() < from + kPropagationLimit) {
        cluster.runFor(kStep);
        for (std::size_t i = 0; i < victim; ++i) {
            const auto view = cluster.membership(i).member(VirtualCluster::idOf(victim));
            if (hasNoticed[i] || !view || view->record.status != MemberStatus::Dead)
                continue;
            hasNoticed[i] = true;
            instants.push_back(cluster.now());
        }
    }
    const Distribution distribution = distributionOf(instants, from);
    measurement.crashMedian = distribution.median;
    measurement.crashWorst = distribution.worst;
}

} // namespace

MembershipMeasurement measureMembership(const ClusterShape &shape)
{
    MembershipMeasurement measurement;
    measurement.instances = shape.instances;
    VirtualCluster cluster(shape);
    converge(cluster, measurement);
    measureSteadyState(cluster, measurement);
    measureFacts(cluster, measurement);
    for (std::size_t i = 0; i < cluster.size(); ++i)
        measurement.falseDeadDeclarations += cluster.membership(i).stats().declaredDead;
    measureCrash(cluster, measurement);
    return measurement;
}

} // namespace cuminrail

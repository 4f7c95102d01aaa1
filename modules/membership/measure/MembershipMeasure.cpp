#include "membership/measure/MembershipMeasure.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis kStep{10};
constexpr Millis kSettleStep{500};
constexpr Millis kSettleLimit = Millis::minutes(5);
constexpr Millis kRest = Millis::seconds(30);
constexpr Millis kSpreadLimit = Millis::seconds(60);
constexpr std::size_t kFacts = 5;

/** How long it took until half and until all of some events had come about. */
struct Spread
{
    Millis median;
    Millis worst;
};

Spread spreadOf(std::vector<Millis> instants, Millis from)
{
    std::sort(instants.begin(), instants.end());
    if (instants.empty())
        return Spread{Millis::never(), Millis::never()};
    return Spread{instants[instants.size() / 2] - from, instants.back() - from};
}

void settle(VirtualCluster &cluster, MembershipFigures &figures)
{
    cluster.startAll();
    while (!cluster.isSettled() && cluster.now() < kSettleLimit)
        cluster.runFor(kSettleStep);
    figures.timeToSettle = cluster.now();
}

/** Waits until the news of the start has been passed on, since it is no part of the rest. */
void drainNews(VirtualCluster &cluster)
{
    const Millis limit = cluster.now() + kSettleLimit;
    std::size_t pending = 1;
    while (pending > 0 && cluster.now() < limit) {
        cluster.runFor(Millis::seconds(1));
        pending = 0;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            pending += cluster.membership(i).pendingNews();
        if (pending < cluster.size())
            return;
    }
}

void measureRest(VirtualCluster &cluster, MembershipFigures &figures)
{
    drainNews(cluster);
    cluster.resetCounts();
    cluster.runFor(kRest);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const double rate = double(cluster.at(i).bytesSent) / kRest.toSeconds();
        figures.bytesPerSecond += rate / double(cluster.size());
        figures.worstBytesPerSecond = std::max(figures.worstBytesPerSecond, rate);
        figures.framesPerSecond +=
            double(cluster.at(i).framesSent) / kRest.toSeconds() / double(cluster.size());
    }
}

void measureFacts(VirtualCluster &cluster, MembershipFigures &figures)
{
    for (std::size_t round = 1; round <= kFacts; ++round) {
        std::vector<Millis> instants;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.at(i).onFact = [&](const UrgentFact &) { instants.push_back(cluster.now()); };
        const Millis from = cluster.now();
        const std::size_t origin = round * 7 % cluster.size();
        cluster.membership(origin).broadcast(
            from, UrgentFact{UrgentFactKind::KeyWithdrawn, std::string(64, 'a'), round});
        while (instants.size() + 1 < cluster.size() && cluster.now() < from + kSpreadLimit)
            cluster.runFor(Millis(1));
        const Spread spread = spreadOf(instants, from);
        figures.factMedian = std::max(figures.factMedian, spread.median);
        figures.factWorst = std::max(figures.factWorst, spread.worst);
    }
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).onFact = nullptr;
}

void measureCrash(VirtualCluster &cluster, MembershipFigures &figures)
{
    const std::size_t victim = cluster.size() - 1;
    std::vector<Millis> instants;
    std::vector<bool> hasNoticed(cluster.size(), false);
    const Millis from = cluster.now();
    cluster.kill(victim);
    while (instants.size() + 1 < cluster.size() && cluster.now() < from + kSpreadLimit) {
        cluster.runFor(kStep);
        for (std::size_t i = 0; i < victim; ++i) {
            const auto view = cluster.membership(i).member(VirtualCluster::idOf(victim));
            if (hasNoticed[i] || !view || view->record.status != MemberStatus::Dead)
                continue;
            hasNoticed[i] = true;
            instants.push_back(cluster.now());
        }
    }
    const Spread spread = spreadOf(instants, from);
    figures.crashMedian = spread.median;
    figures.crashWorst = spread.worst;
}

} // namespace

MembershipFigures measureMembership(const ClusterShape &shape)
{
    MembershipFigures figures;
    figures.instances = shape.instances;
    VirtualCluster cluster(shape);
    settle(cluster, figures);
    measureRest(cluster, figures);
    measureFacts(cluster, figures);
    for (std::size_t i = 0; i < cluster.size(); ++i)
        figures.wrongEvictions += cluster.membership(i).stats().declaredDead;
    measureCrash(cluster, figures);
    return figures;
}

} // namespace cuminrail

#include <doctest/doctest.h>

#include "quotas/testing/QuotaCluster.h"

#include <cmath>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr QuotaTolerance tolerance{Millis(8000), 0.1, 190000};
const std::string north = "north";
const QuotaTable usualQuotas{{north, {QuotaUnit::Tokens, 50000, 50000, 200}}};

/** Returns the cost of a request: mostly short ones, some very long ones. */
double randomCost(QuotaCluster &cluster)
{
    constexpr double minCost = 100;
    constexpr double maxCost = 93000;
    const double share = cluster.pick(1000) / 1000.0;
    return minCost * std::pow(maxCost / minCost, share);
}

/** Sends requests of so many tokens a second, each to a random instance. */
void offer(QuotaCluster &cluster, int instances, double tokensPerSecond, Millis span)
{
    constexpr Millis each = Millis(10);
    double due = 0;
    for (Millis passed; passed < span; passed += each) {
        due += tokensPerSecond * each.toSeconds();
        while (due > 0) {
            const double cost = randomCost(cluster);
            due -= cost;
            cluster.request(cluster.pick(instances), north, cost);
        }
        cluster.advance(each);
    }
}

} // namespace

TEST_CASE("a customer below its quota is not refused, whichever instances get its requests")
{
    for (const int instances : {6, 90, 370}) {
        CAPTURE(instances);
        QuotaCluster cluster(instances, tolerance, usualQuotas, 7);
        offer(cluster, instances, 28000, Millis::seconds(30));
        CHECK(cluster.ran >= 0.97 * cluster.offered);
    }
}

// Guards against instances that count independently, which would grant an overload in full, and
// against a quota divided among instances, which would refuse what the quota allows.
TEST_CASE("an overloading customer gets its quota, and no more than the tolerance above it")
{
    for (const int instances : {6, 90}) {
        CAPTURE(instances);
        QuotaCluster cluster(instances, tolerance, usualQuotas, 11);
        offer(cluster, instances, 250000, Millis::seconds(24));
        CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        CHECK(cluster.ran >= 0.9 * 50000 * 24);
    }
}

// Guards against overuse when an owner's state is lost, or when substitutes grant beside a primary
// owner that still runs.
TEST_CASE("no window exceeds quota and tolerance under faults of instances and links")
{
    struct Row
    {
        const char *what;
        std::function<void(QuotaCluster &cluster, int owner, int instances)> fault;
    };
    const Row rows[] = {
        {"the owner is killed and restarted",
         [](QuotaCluster &cluster, int owner, int instances) {
             cluster.dead.insert(owner);
             offer(cluster, instances, 250000, Millis(1500));
             cluster.start(owner);
         }},
        {"the owner is killed for good",
         [](QuotaCluster &cluster, int owner, int) { cluster.dead.insert(owner); }},
        {"the owner freezes and resumes",
         [](QuotaCluster &cluster, int owner, int instances) {
             cluster.frozen.insert(owner);
             offer(cluster, instances, 250000, Millis(3000));
             cluster.frozen.erase(owner);
         }},
        {"the owner sends but receives nothing",
         [](QuotaCluster &cluster, int owner, int) {
             cluster.isCut = [owner](int, int to) { return to == owner; };
         }},
        {"the owner receives but its frames are lost",
         [](QuotaCluster &cluster, int owner, int) {
             cluster.isCut = [owner](int from, int) { return from == owner; };
         }},
        {"every sixth instance is partitioned off",
         [](QuotaCluster &cluster, int, int) {
             cluster.isCut = [](int from, int to) {
                 return from != to && (from % 6 == 0 || to % 6 == 0);
             };
         }},
        {"links drop a tenth of the frames and delay the others",
         [](QuotaCluster &cluster, int, int) {
             cluster.lossPercent = 10;
             cluster.maxDelay = Millis(60);
         }},
        {"all instances are killed at once",
         [](QuotaCluster &cluster, int, int instances) {
             for (int i = 0; i < instances; ++i)
                 cluster.start(i);
         }},
    };
    constexpr int instances = 24;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            CAPTURE(seed);
            QuotaCluster cluster(instances, tolerance, usualQuotas, seed);
            offer(cluster, instances, 250000, Millis(3000 + 500 * static_cast<int>(seed)));
            row.fault(cluster, cluster.ownerOf(north), instances);
            offer(cluster, instances, 250000, Millis::seconds(12));
            CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        }
    }
}

// Guards against two owners, one in each part of a network partition, that each grant the whole
// quota.
TEST_CASE("in a network partition each part grants the quota in proportion to its reachable share")
{
    constexpr int instances = 24;
    for (const int apart : {4, 8, 12}) {
        CAPTURE(apart);
        QuotaCluster cluster(instances, tolerance, usualQuotas, 3);
        cluster.isCut = [apart](int from, int to) { return (from < apart) != (to < apart); };
        cluster.advance(Millis(9000));
        offer(cluster, instances, 250000, Millis::seconds(16));
        CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        CHECK(cluster.ran >= 0.5 * 50000 * 16);
    }
}

// Guards against an instance that grants nothing, or everything, while it reaches no owner.
TEST_CASE("an isolated instance grants a few small requests locally")
{
    constexpr int instances = 24;
    QuotaCluster cluster(instances, tolerance, usualQuotas, 5);
    const int isolated = cluster.nonOwner();
    cluster.isCut = [isolated](int from, int to) { return from == isolated || to == isolated; };
    for (int i = 0; i < 200; ++i) {
        cluster.request(isolated, north, 200);
        cluster.advance(Millis(50));
    }
    const double share = QuotaLedger::localShare * tolerance.of(usualQuotas.at(north)) / instances;
    CHECK(cluster.ran >= share / 2);
    CHECK(cluster.ran <= share * 2);
    CHECK(cluster.at(isolated).stats().unknown > 0);
}

// Guards against a grant that leaks because its reply arrives after the query timed out.
TEST_CASE("a grant in a late reply is returned once")
{
    constexpr int instances = 24;
    QuotaCluster cluster(instances, tolerance, usualQuotas, 9);
    const int owner = cluster.ownerOf(north);
    const int querier = owner == 0 ? 1 : 0;
    constexpr double cost = 20000;
    cluster.request(querier, north, cost);
    cluster.advance(Millis(20));
    const auto level = [&] { return *cluster.at(owner).ledger().level(north, cluster.now); };
    const double levelAtFirst = level();
    cluster.advance(Millis(160));
    const double before = level();
    const double gained = before - levelAtFirst;
    cluster.frozen.insert(owner);
    cluster.request(querier, north, cost);
    cluster.advance(Millis(60));
    cluster.frozen.erase(owner);
    cluster.advance(Millis(100));
    // The substitute granted it and reported that to the primary owner, whose late grant was
    // returned.
    CHECK(cluster.results[static_cast<std::size_t>(QuotaResult::Granted)] == 2);
    CHECK(before > 0);
    CHECK(level() == doctest::Approx(before - cost + gained));
}

// Guards against refusing all requests between an instance's start and the discovery of its peers,
// as after all instances were killed at once.
TEST_CASE("requests wait for peer discovery, but only for a bounded time")
{
    struct Row
    {
        Millis peersKnownAfter;
        QuotaResult result;
    };
    for (const Row &row : {Row{QuotaExchange::peerDiscoveryTimeout / 2, QuotaResult::Granted},
                           Row{QuotaExchange::peerDiscoveryTimeout * 2, QuotaResult::Unknown}}) {
        Millis now(1000);
        QuotaExchange exchange(tolerance, {[](const PeerAddress &, const std::string &) {}},
                               Clock([&now] { return now; }));
        exchange.setQuotas(usualQuotas);
        std::vector<QuotaResult> results;
        exchange.acquire(north, 500,
                         [&](const QuotaOutcome &outcome) { results.push_back(outcome.result); });
        CHECK(results.empty());
        for (Millis passed; passed < row.peersKnownAfter; passed = passed + Millis(10)) {
            now = now + Millis(10);
            exchange.tick();
        }
        exchange.setPeers({{InstanceId("i-0"), {}}});
        CHECK(results == std::vector<QuotaResult>{row.result});
    }
}

// Guards against a grant for the process that ran at this address before, and for another customer.
TEST_CASE("a reply to a query of an earlier start is not that to a later one")
{
    Millis now(1000);
    std::vector<std::string> sent;
    const auto started = [&] {
        const PeerTransport transport{
            [&sent](const PeerAddress &, const std::string &frame) { sent.push_back(frame); }};
        auto exchange =
            std::make_unique<QuotaExchange>(tolerance, transport, Clock([&now] { return now; }));
        exchange->setQuotas(usualQuotas);
        exchange->setPeers(FrameNetwork::peersOf(0, 24));
        return exchange;
    };
    std::vector<QuotaResult> results;
    const auto acquire = [&results](QuotaExchange &exchange) {
        exchange.acquire(north, 20000, [&results](const QuotaOutcome &outcome) {
            results.push_back(outcome.result);
        });
    };
    const auto first = started();
    acquire(*first);
    REQUIRE(sent.size() == 1);
    const auto query = std::get<QuotaQuery>(*decodeQuotaMessage(sent[0]));
    now = now + Millis(20);
    const auto second = started();
    acquire(*second);
    REQUIRE(sent.size() == 2);
    const std::string reply = encodeQuotaMessage(QuotaReply{query.number, true, 0, 0});
    for (int i = 1; i < 24; ++i)
        CHECK(second->handleFrame(FrameNetwork::nameOf(i), reply));
    CHECK(results.empty());
    for (int i = 1; i < 24; ++i)
        CHECK(first->handleFrame(FrameNetwork::nameOf(i), reply));
    CHECK(results == std::vector<QuotaResult>{QuotaResult::Granted});
}

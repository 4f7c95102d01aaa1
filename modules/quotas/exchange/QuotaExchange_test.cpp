#include <doctest/doctest.h>

#include "quotas/testing/QuotaCluster.h"

#include <cmath>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr QuotaTolerance tolerance{Millis(8000), 0.1, 190000};
const std::string north = "north";
const QuotaTable usual{{north, {QuotaUnit::Tokens, 50000, 50000, 200}}};

/** What a customer asks: mostly short requests, some very long ones. */
double drawCost(QuotaCluster &cluster)
{
    constexpr double least = 100;
    constexpr double most = 93000;
    const double part = cluster.pick(1000) / 1000.0;
    return least * std::pow(most / least, part);
}

/** Offers so many tokens a second, at instances drawn for each request. */
void offer(QuotaCluster &cluster, int instances, double tokensPerSecond, Millis span)
{
    constexpr Millis each = Millis(10);
    double due = 0;
    for (Millis passed; passed < span; passed += each) {
        due += tokensPerSecond * each.toSeconds();
        while (due > 0) {
            const double cost = drawCost(cluster);
            due -= cost;
            cluster.request(cluster.pick(instances), north, cost);
        }
        cluster.pass(each);
    }
}

} // namespace

TEST_CASE("a customer below its quota is not refused, wherever its requests arrive")
{
    for (const int instances : {6, 90, 370}) {
        CAPTURE(instances);
        QuotaCluster cluster(instances, tolerance, usual, 7);
        offer(cluster, instances, 28000, Millis::seconds(30));
        CHECK(cluster.ran >= 0.97 * cluster.offered);
    }
}

// Guards against instances that each count for themselves, or divide the quota: the first grants a
// flood whole, the second refuses what the quota allows.
TEST_CASE("a flood gets its quota, no less and within the tolerance no more")
{
    for (const int instances : {6, 90}) {
        CAPTURE(instances);
        QuotaCluster cluster(instances, tolerance, usual, 11);
        offer(cluster, instances, 250000, Millis::seconds(24));
        CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        CHECK(cluster.ran >= 0.9 * 50000 * 24);
    }
}

TEST_CASE("in no window does more run than the quota and its tolerance, whatever fails")
{
    struct Row
    {
        const char *what;
        std::function<void(QuotaCluster &cluster, int keeper, int instances)> fault;
    };
    const Row rows[] = {
        {"the keeper is killed and starts again",
         [](QuotaCluster &cluster, int keeper, int instances) {
             cluster.dead.insert(keeper);
             offer(cluster, instances, 250000, Millis(1500));
             cluster.start(keeper);
         }},
        {"the keeper is killed for good",
         [](QuotaCluster &cluster, int keeper, int) { cluster.dead.insert(keeper); }},
        {"the keeper stands still and wakes",
         [](QuotaCluster &cluster, int keeper, int instances) {
             cluster.frozen.insert(keeper);
             offer(cluster, instances, 250000, Millis(3000));
             cluster.frozen.erase(keeper);
         }},
        {"the keeper hears nobody, but is heard",
         [](QuotaCluster &cluster, int keeper, int) {
             cluster.isCut = [keeper](int, int to) { return to == keeper; };
         }},
        {"the keeper is heard by nobody, but hears",
         [](QuotaCluster &cluster, int keeper, int) {
             cluster.isCut = [keeper](int from, int) { return from == keeper; };
         }},
        {"every sixth instance is cut off",
         [](QuotaCluster &cluster, int, int) {
             cluster.isCut = [](int from, int to) {
                 return from != to && (from % 6 == 0 || to % 6 == 0);
             };
         }},
        {"links lose a tenth of the frames and delay the others",
         [](QuotaCluster &cluster, int, int) {
             cluster.lossPercent = 10;
             cluster.delayMost = Millis(60);
         }},
        {"all are killed at once",
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
            QuotaCluster cluster(instances, tolerance, usual, seed);
            offer(cluster, instances, 250000, Millis(3000 + 500 * static_cast<int>(seed)));
            row.fault(cluster, cluster.keeperOf(north), instances);
            offer(cluster, instances, 250000, Millis::seconds(12));
            CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        }
    }
}

// Guards against two keepers that each grant the whole quota while a cut keeps them apart.
TEST_CASE("parts of a system that is cut in two share the quota by what each part reaches")
{
    constexpr int instances = 24;
    for (const int apart : {4, 8, 12}) {
        CAPTURE(apart);
        QuotaCluster cluster(instances, tolerance, usual, 3);
        cluster.isCut = [apart](int from, int to) { return (from < apart) != (to < apart); };
        cluster.pass(Millis(9000));
        offer(cluster, instances, 250000, Millis::seconds(16));
        CHECK(cluster.busiestWindow() <= cluster.allowed(north));
        CHECK(cluster.ran >= 0.5 * 50000 * 16);
    }
}

// Guards against an instance that serves nobody, or everybody, while it reaches no keeper.
TEST_CASE("an instance that reaches nobody lets small requests through, and few of them")
{
    constexpr int instances = 24;
    QuotaCluster cluster(instances, tolerance, usual, 5);
    const int lonely = cluster.asker();
    cluster.isCut = [lonely](int from, int to) { return from == lonely || to == lonely; };
    for (int i = 0; i < 200; ++i) {
        cluster.request(lonely, north, 200);
        cluster.pass(Millis(50));
    }
    const double part = QuotaBook::unaskedShare * tolerance.of(usual.at(north)) / instances;
    CHECK(cluster.ran >= part / 2);
    CHECK(cluster.ran <= part * 2);
    CHECK(cluster.at(lonely).stats().unknown > 0);
}

// Guards against a grant that is lost when its answer comes after the question was given up.
TEST_CASE("a grant that comes too late is given back once")
{
    constexpr int instances = 24;
    QuotaCluster cluster(instances, tolerance, usual, 9);
    const int keeper = cluster.keeperOf(north);
    const int asker = keeper == 0 ? 1 : 0;
    constexpr double cost = 20000;
    cluster.request(asker, north, cost);
    cluster.pass(Millis(20));
    const auto level = [&] { return *cluster.at(keeper).book().level(north, cluster.now); };
    const double first = level();
    cluster.pass(Millis(160));
    const double before = level();
    const double gained = before - first;
    cluster.frozen.insert(keeper);
    cluster.request(asker, north, cost);
    cluster.pass(Millis(60));
    cluster.frozen.erase(keeper);
    cluster.pass(Millis(100));
    // The stand-in granted it and told the keeper, whose own late grant came back.
    CHECK(cluster.results[static_cast<std::size_t>(QuotaResult::Granted)] == 2);
    CHECK(before > 0);
    CHECK(level() == doctest::Approx(before - cost + gained));
}

// Guards against refusing everything in the moment between an instance's start and its first look
// at who the others are, as after all were killed at once.
TEST_CASE("questions wait until the others are known, and not for long")
{
    struct Row
    {
        Millis knownAfter;
        QuotaResult result;
    };
    for (const Row &row : {Row{QuotaExchange::decidedWithin / 2, QuotaResult::Granted},
                           Row{QuotaExchange::decidedWithin * 2, QuotaResult::Unknown}}) {
        Millis now(1000);
        QuotaExchange exchange(tolerance, {[](const PeerAddress &, const std::string &) {}},
                               Clock([&now] { return now; }));
        exchange.setQuotas(usual);
        std::vector<QuotaResult> results;
        exchange.ask(north, 500,
                     [&](const QuotaVerdict &verdict) { results.push_back(verdict.result); });
        CHECK(results.empty());
        for (Millis passed; passed < row.knownAfter; passed = passed + Millis(10)) {
            now = now + Millis(10);
            exchange.tick();
        }
        exchange.setPeers({{InstanceId("i-0"), {}}});
        CHECK(results == std::vector<QuotaResult>{row.result});
    }
}

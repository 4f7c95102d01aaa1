#include <doctest/doctest.h>

#include "gateway/testing/UsageCluster.h"

using namespace cuminrail;
using namespace cuminrail::testing;

// A window reported early or not at all would bill customers for too few requests.
TEST_CASE("every window is reported whole, after its end and before it is due")
{
    UsageCluster cluster(4, 1);
    cluster.run(Millis(30000));
    for (std::int64_t window = 1001; window <= 1004; ++window) {
        CHECK(cluster.reported(window) >= 196);
        CHECK(cluster.reported(window) <= 204);
    }
    CHECK(cluster.reports.count(1005) == 0);
    CHECK(cluster.isEachWindowOnce());
}

// The holder crashes with a window half collected, or the response to its report is lost; the next
// holder continues with the same window. Two figures for one window would bill customers wrongly.
TEST_CASE("successive holders never report two figures for a window")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        UsageCluster cluster(3, seed);
        auto random = cluster.scheduler.random();
        cluster.network.setHook([&random](const FakeMessage &) {
            return MessageFate{random() % 12 == 0,
                               Millis(static_cast<std::int64_t>(random() % 30))};
        });
        for (int turn = 0; turn < 12; ++turn) {
            cluster.holder = random() % 3;
            ++cluster.fence;
            cluster.isReportLost = random() % 3 == 0;
            cluster.run(Millis(static_cast<std::int64_t>(1000 + random() % 4000)));
        }
        cluster.isReportLost = false;
        cluster.run(Millis(20000));
        CHECK(cluster.isEachWindowOnce());
        CHECK(cluster.reports.size() >= 6);
    }
}

// An instance cannot reach the store when a window ends. Sealed without it, the report would lack
// its requests; waiting for it without limit, no report would ever be sent.
TEST_CASE("sealing a window waits for a late instance, up to the maximum delay")
{
    for (const bool comesBack : {true, false}) {
        CAPTURE(comesBack);
        UsageCluster cluster(3, 7);
        cluster.run(Millis(8000));
        cluster.network.setCut("i-2", "*", true);
        cluster.run(Millis(5500));
        if (comesBack)
            cluster.network.setCut("i-2", "*", false);
        cluster.run(Millis(9000));
        CHECK(cluster.reported(1001) >= (comesBack ? 145 : 100));
        CHECK(cluster.reported(1001) <= 153);
        CHECK(cluster.isEachWindowOnce());
    }
}

// The store refuses one instance for half a minute and serves the others. Callers notice nothing,
// but each window would be billed without the requests of that instance.
TEST_CASE("usage of an instance that the store refuses is delivered through a collector")
{
    UsageCluster cluster(3, 11);
    cluster.collectors = {0, 2};
    cluster.run(Millis(8000));
    cluster.network.setCut("i-1", "*", true);
    cluster.run(Millis(30000));
    cluster.network.setCut("i-1", "*", false);
    cluster.run(Millis(10000));
    for (std::int64_t window = 1001; window <= 1008; ++window) {
        CAPTURE(window);
        CHECK(cluster.reported(window) >= 145);
        CHECK(cluster.reported(window) <= 154);
    }
    CHECK(cluster.isEachWindowOnce());
}

// A collector can write its copy of a ledger after the owner has written a newer one itself. The
// older copy must not lower the counts, nor be added to them.
TEST_CASE("copies of a ledger may be merged in any order and count once")
{
    const LedgerRecord older{6, {{7, {{"north", 3}, {"south", 1}}}}};
    const LedgerRecord newer{7, {{7, {{"north", 5}, {"south", 1}}}, {8, {{"north", 2}}}}};
    for (const bool isNewerFirst : {true, false}) {
        LedgerRecord merged;
        mergeLedger(merged, isNewerFirst ? newer : older);
        mergeLedger(merged, isNewerFirst ? older : newer);
        CHECK(merged.completeThrough == 7);
        CHECK(merged.windows == newer.windows);
    }
}

// A message of another instance may contain anything. A malformed ledger or owner must not corrupt
// the ledgers of the other instances, which are written in the same object.
TEST_CASE("a collector does not write malformed ledgers")
{
    UsageCluster cluster(2, 3);
    const std::string good = encodeLedger({7, {{7, {{"north", 3}}}}});
    const std::pair<const char *, std::string> rows[] = {
        {"", good}, {"a/b", good}, {"i-9.1", "no ledger"}, {"i-9.1", "{}"}};
    const auto collect = [&](const std::string &owner, const std::string &ledger) {
        const std::string frame = encodeLedgerMessage({owner, 1, ledger});
        cluster.duties[0]->handleFrame("1", frame);
        cluster.run(Millis(1000), false);
        return cluster.store.value("usage/i-0.0+collected");
    };
    for (const auto &row : rows) {
        const std::string owner = row.first;
        CAPTURE(owner);
        CHECK(collect(owner, row.second).empty());
    }
    const auto decoded = decodeLedgers(collect("i-9.1", good), nullptr);
    REQUIRE(decoded);
    CHECK(decoded->at("i-9.1").windows.at(7).at("north") == 3);
}

// With 200 instances that have counts to write when a window ends, one store call each is too many.
// The failure domain's collectors write for all, also when the first collector is gone, and no
// request may be billed twice or not at all.
TEST_CASE("collectors write the ledgers of all instances, and each counts once")
{
    struct Row
    {
        const char *what;
        /** Collectors killed after the first window. */
        std::vector<std::size_t> dead;
        std::uint64_t maxPuts;
    };
    const Row rows[] = {
        {"all well", {}, 3 * 8 + 30},
        {"the first collector is gone", {0}, 3 * 8 + 30},
        {"two collectors are gone", {0, 1}, 3 * 8 + 30},
        {"all collectors are gone", {0, 1, 2}, 40 * 8 + 30},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        UsageCluster cluster(40, 9);
        cluster.holder = 39;
        for (const auto &duty : cluster.duties)
            duty->setInstances(40);
        cluster.share({0, 1, 2});
        cluster.run(Millis(8000));
        for (const std::size_t index : row.dead)
            cluster.processes[index]->kill();
        const std::uint64_t before = cluster.store.counts().puts;
        cluster.run(Millis(8 * windowMillis));
        CHECK(cluster.store.counts().puts - before <= row.maxPuts);
        const std::uint64_t each = 50 * (40 - row.dead.size());
        for (std::int64_t window = 1002; window <= 1007; ++window) {
            CAPTURE(window);
            CHECK(cluster.reported(window) >= each * 98 / 100);
            CHECK(cluster.reported(window) <= each * 102 / 100);
        }
        CHECK(cluster.isEachWindowOnce());
    }
}

// The store refuses a third of the instances, among them the first collector. The ledgers it cannot
// write get no receipt; if their owners took them as written, they would be missing from the bill.
TEST_CASE("ledgers that a collector cannot write take another route")
{
    UsageCluster cluster(40, 13);
    cluster.holder = 39;
    for (const auto &duty : cluster.duties)
        duty->setInstances(40);
    cluster.share({0, 1, 2});
    cluster.run(Millis(8000));
    for (std::size_t i = 0; i < 13; ++i) {
        if (i != 1)
            cluster.network.setCut("i-" + std::to_string(i), FakeObjectStore::endpoint, true);
    }
    cluster.run(Millis(30000));
    for (std::int64_t window = 1002; window <= 1005; ++window) {
        CAPTURE(window);
        CHECK(cluster.reported(window) >= 1960);
        CHECK(cluster.reported(window) <= 2040);
    }
    CHECK(cluster.isEachWindowOnce());
}

// Instances are restarted one after the other. The ledger of a previous incarnation never becomes
// complete; if the holder waited for it, each report of the next two windows would be five seconds
// later, and too late if the holder then loses the store.
TEST_CASE("reports do not wait for the previous incarnation of a restarted instance")
{
    UsageCluster cluster(3, 5);
    cluster.run(Millis(6000));
    cluster.duties[1]->flush();
    cluster.run(Millis(100), false);
    cluster.processes[1]->kill();
    cluster.start(1);
    const std::int64_t window = 1001;
    cluster.run(Millis(2 * windowMillis + 3500) - cluster.scheduler.now());
    CHECK(cluster.reported(window) >= 140);
    CHECK(cluster.isEachWindowOnce());
}

// The ledger of an ended instance never becomes complete: it must not delay the reports, nor remain
// in the store.
TEST_CASE("reports do not wait for an ended instance, and its ledger is removed in time")
{
    UsageCluster cluster(3, 5);
    cluster.run(Millis(6000));
    cluster.duties[2]->flush();
    cluster.run(Millis(100), false);
    cluster.processes[2]->kill();
    cluster.run(Millis(90000));
    CHECK(cluster.reported(1000) >= 140);
    CHECK(cluster.reported(1010) >= 96);
    CHECK(cluster.store.value("usage/i-2.2").empty());
    CHECK(cluster.store.value("seals/1001").empty());
    CHECK(cluster.isEachWindowOnce());
}

// Without a reason in the log, an operator could not tell which record is damaged, and how.
TEST_CASE("decoding a malformed record returns a reason")
{
    Reason reason;
    for (const char *bad :
         {"", "[]", R"({"complete_through":1})", R"({"complete_through":"x","windows":{}})",
          R"({"complete_through":1,"windows":{"x":{}}})"}) {
        CHECK_FALSE(decodeLedger(bad, &reason));
        CHECK(reason.where == "ledger");
    }
    for (const char *bad : {"", "[]", R"({"i-1.1":{}})", R"({"i-1.1":7})"}) {
        CHECK_FALSE(decodeLedgers(bad, &reason));
        CHECK(reason.where == "ledgers");
    }
    CHECK_FALSE(decodeSeal("{\"north\":\"many\"}", &reason));
    CHECK(reason.where == "seal");
    const LedgerRecord record{7, {{7, {{"north", 3}}}}};
    CHECK(decodeLedger(encodeLedger(record), &reason)->windows == record.windows);
}

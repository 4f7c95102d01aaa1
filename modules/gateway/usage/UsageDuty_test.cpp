#include <doctest/doctest.h>

#include "gateway/usage/GatewayUsage.h"
#include "ports/testing/testing.h"

#include <memory>
#include <set>

using namespace cuminrail;

namespace {

constexpr std::int64_t windowMillis = 5000;

/** Instances that count, one store, and a platform that takes reports. */
class UsageCluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<FakeProcessPtr> processes;
    std::vector<std::unique_ptr<GatewayUsage>> duties;
    /** Which instance may report, and under which fence. */
    std::size_t holder = 0;
    std::uint64_t fence = 1;
    bool isReportLost = false;
    /** Places of the instances that take ledgers. */
    std::vector<std::size_t> collectors;
    /** Ledgers are given to collectors first, not only when the own write fails. */
    bool isShared = false;
    std::map<std::int64_t, std::set<std::string>> reports;

    UsageCluster(std::size_t size, std::uint64_t seed) : scheduler(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    void start(std::size_t index)
    {
        const std::string name = "i-" + std::to_string(index);
        processes.push_back(std::make_shared<FakeProcess>(name));
        const auto wall = [this] { return 1000 * windowMillis + scheduler.now().count(); };
        UsageDuty::Hooks duty{store.port(processes.back()),
                              Clock([this] { return scheduler.now(); }),
                              wall,
                              ignoreEvents(),
                              [this](std::int64_t window, const CustomerCounts &counts,
                                     const DutyAuthority &, const DutyCompletion &done) {
                                  reports[window].insert(encodeSeal(counts));
                                  done(isReportLost ? DutyResult::Unknown : DutyResult::Accepted,
                                       {});
                              },
                              [this, index]() -> std::optional<DutyAuthority> {
                                  if (index != holder)
                                      return std::nullopt;
                                  return DutyAuthority{"h", fence, scheduler.now() + Millis(3000)};
                              }};
        GatewayUsage::Hooks hooks{std::move(duty), scheduler.random(),
                                  [this, index] { return collectorsOf(index); },
                                  [this, index](const PeerAddress &to, const std::string &frame) {
                                      send(index, std::stoul(to), frame);
                                  }};
        duties.push_back(std::make_unique<GatewayUsage>(name + "." + std::to_string(duties.size()),
                                                        UsageTiming{}, std::move(hooks)));
        duties.back()->setShared(isShared);
    }

    /** Addresses are places in the cluster; an instance's own is empty. */
    std::vector<PeerAddress> collectorsOf(std::size_t index) const
    {
        std::vector<PeerAddress> addresses;
        for (const std::size_t place : collectors)
            addresses.push_back(place == index ? PeerAddress() : std::to_string(place));
        return addresses;
    }

    void send(std::size_t from, std::size_t to, const std::string &frame)
    {
        scheduler.after(Millis(1), [this, from, to, frame] {
            if (processes[to]->isRunning(scheduler.now()))
                duties[to]->received(std::to_string(from), frame);
        });
    }

    void share(std::vector<std::size_t> places)
    {
        collectors = std::move(places);
        isShared = true;
        for (const auto &duty : duties)
            duty->setShared(true);
    }

    /** Lets time pass; each running instance counts a request every 100 ms. */
    void run(Millis span, bool counts = true)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(100));
            for (std::size_t i = 0; i < duties.size(); ++i) {
                if (!processes[i]->isRunning(scheduler.now()))
                    continue;
                if (counts)
                    duties[i]->count("north");
                duties[i]->tick();
            }
        }
    }

    std::uint64_t reported(std::int64_t window) const
    {
        const auto found = reports.find(window);
        if (found == reports.end() || found->second.empty())
            return 0;
        Reason reason;
        return decodeSeal(*found->second.begin(), &reason)->at("north");
    }

    bool isEachWindowOnce() const
    {
        for (const auto &[window, figures] : reports) {
            if (figures.size() != 1)
                return false;
        }
        return true;
    }
};

} // namespace

TEST_CASE("every window is reported whole, once it is over and before it is due")
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

// The holder dies with a window half collected, or its report's answer is lost; the next holder
// takes up the same window. Two figures for one window would bill customers wrongly.
TEST_CASE("holders that follow one another never report two figures for a window")
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

// An instance cannot reach the store while a window ends. Sealed without it, the report would lack
// its requests; waited for without end, the report would never come.
TEST_CASE("a window waits for an instance that is late, but not beyond its time")
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

// The store turns one instance away for half a minute and serves the others. Callers notice
// nothing, but each window would be billed without what ran through that instance.
TEST_CASE("an instance that the store turns away is counted through another one")
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

// A copy that was passed on is written late, after its owner has written a newer one itself.
TEST_CASE("copies of a ledger may come in any order and count once")
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

// What another instance gives to be written may be anything; it must not spoil the ledgers of the
// others, which are written in the same object.
TEST_CASE("what is no ledger of another instance is not written for it")
{
    UsageCluster cluster(2, 3);
    const std::string good = encodeLedger({7, {{7, {{"north", 3}}}}});
    const std::pair<const char *, std::string> rows[] = {
        {"", good}, {"a/b", good}, {"i-9.1", "no ledger"}, {"i-9.1", "{}"}};
    const auto give = [&](const std::string &owner, const std::string &ledger) {
        const std::string frame = encodeLedgerMessage({owner, 1, ledger});
        cluster.duties[0]->received("1", frame);
        cluster.run(Millis(1000), false);
        return cluster.store.value("usage/i-0.0+collected");
    };
    for (const auto &row : rows) {
        const std::string owner = row.first;
        CAPTURE(owner);
        CHECK(give(owner, row.second).empty());
    }
    const auto held = decodeLedgers(give("i-9.1", good), nullptr);
    REQUIRE(held);
    CHECK(held->at("i-9.1").windows.at(7).at("north") == 3);
}

// Two hundred instances each have counts to write when a window ends. One call each is more than
// the windows are worth; the failure domain's collectors write for all, also when the first is
// gone, and no request may be billed twice or not at all.
TEST_CASE("collectors write the ledgers of all, and each counts once")
{
    struct Row
    {
        const char *what;
        /** Stopped for good after the first window. */
        std::vector<std::size_t> dead;
        std::uint64_t mostPuts;
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
        for (const std::size_t place : row.dead)
            cluster.processes[place]->kill();
        const std::uint64_t before = cluster.store.counts().puts;
        cluster.run(Millis(8 * windowMillis));
        CHECK(cluster.store.counts().puts - before <= row.mostPuts);
        const std::uint64_t each = 50 * (40 - row.dead.size());
        for (std::int64_t window = 1002; window <= 1007; ++window) {
            CAPTURE(window);
            CHECK(cluster.reported(window) >= each * 98 / 100);
            CHECK(cluster.reported(window) <= each * 102 / 100);
        }
        CHECK(cluster.isEachWindowOnce());
    }
}

// The store turns a third of the instances away, the first collector among them. Its ledgers are
// never acknowledged; taken for written, they would be missing from the bill.
TEST_CASE("ledgers that a collector cannot write go another way")
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

// Instances are restarted one after the other. The ledger of a life that is over never says that it
// is complete; waited for, every report of the next two windows would come five seconds later, and
// too late if the holder then loses the store.
TEST_CASE("a former life of an instance that started again is not waited for")
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

TEST_CASE("an instance that ended is not waited for, and its ledger is cleared away in time")
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

TEST_CASE("records that cannot be read say why")
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

#include "usage/usage.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>

using namespace cuminrail;

namespace {

const TeamId team{"north"};
const CustomerId customer{"chamber"};
constexpr Millis window = Millis::seconds(60);

/** One instance that counts and may report. */
struct Node
{
    std::string incarnationName;
    FakeProcessPtr process;
    Authority lease;
    std::unique_ptr<UsageFlusher> flusher;
    std::unique_ptr<UsageReporter> reporter;
};

class UsageTestBed
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeUsageReceiver receiver{network};
    std::vector<std::unique_ptr<Node>> nodes;

    Node &add(const std::string &name)
    {
        nodes.push_back(std::make_unique<Node>());
        Node &node = *nodes.back();
        node.incarnationName = name + "-1";
        node.process = std::make_shared<FakeProcess>(name);
        UsageFlusher::Hooks flush{store.port(node.process), scheduler.clock(), scheduler.random(),
                                  [this] { return UsageWindows(window).indexAt(scheduler.now()); },
                                  [] { return Millis::seconds(10); }};
        node.flusher = std::make_unique<UsageFlusher>(
            team, InstanceIncarnation{InstanceId(name), 1}, std::move(flush));
        UsageTiming timing;
        timing.windowLength = window;
        UsageReporter::Hooks hooks{
            store.port(node.process),
            receiver.port(node.process),
            scheduler.clock(),
            scheduler.random(),
            ignoreEvents(),
            [this, &node]() -> std::optional<Authority> {
                if (scheduler.now() >= node.lease.notAfter)
                    return std::nullopt;
                return node.lease;
            },
            [this] { return scheduler.now(); },
            [this](const std::string &incarnationName) { return isLive(incarnationName); }};
        node.reporter = std::make_unique<UsageReporter>(team, timing, std::move(hooks));
        return node;
    }

    void assignDuty(Node &node, FenceNumber fence, Millis span)
    {
        node.lease = Authority{fence, scheduler.now() + span};
        node.reporter->onLeaseAcquired();
    }

    void run(Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(100));
            for (auto &node : nodes) {
                if (!node->process->isRunning(scheduler.now()))
                    continue;
                node->flusher->tick();
                node->reporter->tick();
            }
        }
    }

    void addUsageAt(Node &node, std::uint64_t tokens)
    {
        node.flusher->add(customer, UsageCounters{tokens, 0, 1, 0});
    }

    bool isLive(const std::string &incarnationName)
    {
        for (auto &node : nodes) {
            if (node->incarnationName == incarnationName)
                return node->process->isAlive();
        }
        return false;
    }

    /** The distinct figures that the platform has received, by window. */
    std::map<std::string, std::set<std::string>> figuresByWindow()
    {
        std::map<std::string, std::set<std::string>> byWindow;
        for (const ReceivedReport &received : receiver.received())
            byWindow[received.report.windowId].insert(received.report.sealedFigures);
        return byWindow;
    }

    bool hasConflictingFigures()
    {
        for (const auto &[id, variants] : figuresByWindow()) {
            if (variants.size() > 1)
                return true;
        }
        return false;
    }

    std::uint64_t billed(const std::string &key)
    {
        std::uint64_t sum = 0;
        for (const auto &[id, variants] : figuresByWindow()) {
            const auto json = nlohmann::json::parse(*variants.begin());
            const auto &customers = json.at("customers");
            if (!customers.contains("chamber"))
                continue;
            const auto &entry = customers.at("chamber");
            if (key != "late")
                sum += entry.at(key).get<std::uint64_t>();
            else if (entry.contains("late"))
                sum += entry.at("late").at("prompt_tokens").get<std::uint64_t>();
        }
        return sum;
    }
};

constexpr Millis longLease = Millis::minutes(60);

} // namespace

// Guards against usage that is lost or counted twice when counters of several instances are merged.
TEST_CASE("usage at several instances is billed once")
{
    UsageTestBed bed;
    Node &a = bed.add("a");
    Node &b = bed.add("b");
    bed.assignDuty(a, 1, longLease);
    for (int i = 0; i < 30; ++i) {
        bed.addUsageAt(a, 10);
        bed.addUsageAt(b, 7);
        bed.run(Millis::seconds(7));
    }
    bed.run(Millis::minutes(3));
    CHECK(bed.billed("prompt_tokens") == 30 * 17);
    CHECK(bed.billed("requests") == 60);
    CHECK(!bed.hasConflictingFigures());
    CHECK(a.reporter->unreportedCount() == 0);
}

// The platform's reply to a report is lost, and then the holder fails. The next holder sends the
// report again after more usage was counted; a client must not receive two sets of figures
// for one window.
TEST_CASE("a report that is sent again carries the same figures, also from another holder")
{
    const auto runScenario = [](UsageTestBed &bed) {
        Node &a = bed.add("a");
        Node &b = bed.add("b");
        bed.assignDuty(a, 1, Millis::seconds(200));
        bed.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            const bool isReport = message.endpoint == FakeUsageReceiver::endpoint;
            fate.lost = isReport && message.leg == MessageLeg::Reply && message.process == "a";
            return fate;
        });
        for (int i = 0; i < 25; ++i) {
            bed.addUsageAt(a, 10);
            bed.addUsageAt(b, 7);
            bed.run(Millis::seconds(7));
        }
        bed.run(Millis::seconds(60));
        bed.assignDuty(b, 2, longLease);
        bed.addUsageAt(a, 100);
        bed.run(Millis::minutes(4));
    };
    UsageTestBed bed;
    runScenario(bed);
    CHECK(!bed.hasConflictingFigures());
    CHECK(bed.billed("prompt_tokens") == 25 * 17 + 100);

    DisabledGuard disabled(Guard::ReportFromSeal);
    UsageTestBed unguarded;
    runScenario(unguarded);
    CHECK(unguarded.hasConflictingFigures());
}

// An instance cannot reach the store for a while, and its usage arrives after its window was
// sealed. The sealed figures stay unchanged; the usage appears in the next window, marked
// as late, so that the bill adds up.
TEST_CASE("late usage is part of the next window and is marked")
{
    UsageTestBed bed;
    Node &a = bed.add("a");
    Node &b = bed.add("b");
    bed.assignDuty(a, 1, longLease);
    bed.run(Millis::seconds(5));
    bed.addUsageAt(b, 50);
    bed.network.setCut("b", "*", true);
    bed.run(Millis::seconds(85));
    bed.network.setCut("b", "*", false);
    bed.run(Millis::minutes(3));
    CHECK(bed.billed("prompt_tokens") == 50);
    CHECK(bed.billed("late") == 50);
    CHECK(!bed.hasConflictingFigures());
}

// An instance dies with unwritten counts. What it had written is billed once and its object is
// removed; what it had not written is lost, which is at most the usage of one flush interval.
TEST_CASE("the counters of a dead instance are closed, and the loss is bounded")
{
    UsageTestBed bed;
    Node &a = bed.add("a");
    Node &b = bed.add("b");
    bed.assignDuty(a, 1, longLease);
    for (int second = 0; second < 45; ++second) {
        bed.addUsageAt(b, 1);
        bed.run(Millis::seconds(1));
    }
    b.process->kill();
    bed.run(Millis::minutes(8));
    CHECK(bed.billed("prompt_tokens") <= 45);
    CHECK(bed.billed("prompt_tokens") >= 45 - 12);
    CHECK(bed.store.value(UsageFlusher::prefix(team) + "b-1").empty());
    CHECK(!bed.hasConflictingFigures());
}

// An instance is considered dead while it is only paused. Its counters were folded and removed;
// when it continues, what it counts must be billed without billing the old counts again.
TEST_CASE("an instance that was wrongly considered dead continues without counting twice")
{
    UsageTestBed bed;
    Node &a = bed.add("a");
    Node &b = bed.add("b");
    bed.assignDuty(a, 1, longLease);
    bed.addUsageAt(b, 40);
    bed.run(Millis::seconds(20));
    b.incarnationName = "unknown";
    b.process->pauseUntil(Millis::minutes(10));
    bed.run(Millis::minutes(11));
    CHECK(bed.billed("prompt_tokens") == 40);
    bed.addUsageAt(b, 5);
    bed.run(Millis::minutes(4));
    CHECK(bed.billed("prompt_tokens") == 45);
    CHECK(!bed.hasConflictingFigures());
}

// A planned stop must lose no usage.
TEST_CASE("a planned stop writes all counts")
{
    UsageTestBed bed;
    Node &a = bed.add("a");
    Node &b = bed.add("b");
    bed.assignDuty(a, 1, longLease);
    bed.addUsageAt(b, 40);
    b.flusher->stop();
    bed.run(Millis(500));
    CHECK(b.flusher->isFlushed());
    b.process->kill();
    bed.run(Millis::minutes(4));
    CHECK(bed.billed("prompt_tokens") == 40);
}

// Two instances both consider themselves the holder, one of them with stale counters. The window
// must have one set of figures whichever seals it first.
TEST_CASE("two holders that seal the same window report the same figures")
{
    const auto runScenario = [](UsageTestBed &bed) {
        Node &a = bed.add("a");
        Node &b = bed.add("b");
        bed.assignDuty(a, 1, longLease);
        bed.assignDuty(b, 2, longLease);
        bed.store.setReadLag("b", Millis::seconds(25));
        for (int i = 0; i < 60; ++i) {
            bed.addUsageAt(a, 10);
            bed.run(Millis::seconds(5));
        }
        bed.run(Millis::minutes(3));
    };
    UsageTestBed bed;
    runScenario(bed);
    CHECK(!bed.hasConflictingFigures());
    CHECK(bed.billed("prompt_tokens") == 600);

    DisabledGuard disabled(Guard::SealCreatedOnce);
    UsageTestBed unguarded;
    runScenario(unguarded);
    CHECK(unguarded.hasConflictingFigures());
}

// Messages are lost at random over a long time. The bill must be correct.
TEST_CASE("lost messages do not change the bill")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        UsageTestBed bed;
        RandomHook random = seededRandom(seed);
        Node &a = bed.add("a");
        Node &b = bed.add("b");
        bed.assignDuty(a, 1, longLease);
        bed.network.setHook([&](const FakeMessage &) {
            MessageFate fate;
            fate.lost = random() % 8 == 0;
            return fate;
        });
        for (int i = 0; i < 40; ++i) {
            bed.addUsageAt(a, 10);
            bed.addUsageAt(b, 7);
            bed.run(Millis::seconds(7));
        }
        bed.run(Millis::minutes(5));
        CHECK(bed.billed("prompt_tokens") == 40 * 17);
        CHECK(!bed.hasConflictingFigures());
    }
}

// Guards against an error in the conversion of calendar time, which would bill usage under a wrong
// window.
TEST_CASE("windows are named after calendar time")
{
    const UsageWindows fiveMinutes(Millis::minutes(5));
    CHECK(fiveMinutes.nameOf(fiveMinutes.indexAt(Millis(1796206500000))) == "2026-12-02T10:15:00");
    CHECK(fiveMinutes.nameOf(0) == "1970-01-01T00:00:00");
}

// Guards against writes that grow with instances and teams beyond what the store permits.
TEST_CASE("the flush interval bounds the writes to the store for any number of instances")
{
    CHECK(flushInterval(8, 3) == Millis::seconds(10));
    CHECK(flushInterval(370, 10) == Millis(92500));
}

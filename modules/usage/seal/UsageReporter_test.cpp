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
const CustomerId chamber{"chamber"};
constexpr Millis window = Millis::seconds(60);

/** One instance that counts and may report. */
struct Node
{
    std::string life;
    FakeProcessPtr process;
    Authority lease;
    std::unique_ptr<UsageFlusher> flusher;
    std::unique_ptr<UsageReporter> reporter;
};

class World
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
        node.life = name + "-1";
        node.process = std::make_shared<FakeProcess>(name);
        UsageFlusher::Hooks flush{store.port(node.process), scheduler.clock(), scheduler.random(),
                                  [this] { return UsageWindows(window).indexAt(scheduler.now()); },
                                  [] { return Millis::seconds(10); }};
        node.flusher = std::make_unique<UsageFlusher>(team, InstanceLife{InstanceId(name), 1},
                                                      std::move(flush));
        UsageTiming timing;
        timing.windowLength = window;
        UsageReporter::Hooks hooks{store.port(node.process),
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
                                   [this](const std::string &life) { return isLive(life); }};
        node.reporter = std::make_unique<UsageReporter>(team, timing, std::move(hooks));
        return node;
    }

    void giveDuty(Node &node, FenceNumber fence, Millis span)
    {
        node.lease = Authority{fence, scheduler.now() + span};
        node.reporter->taken();
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

    void use(Node &node, std::uint64_t tokens)
    {
        node.flusher->add(chamber, UsageFigures{tokens, 0, 1, 0});
    }

    bool isLive(const std::string &life)
    {
        for (auto &node : nodes) {
            if (node->life == life)
                return node->process->isAlive();
        }
        return false;
    }

    /** The distinct figures that the platform was ever told, by window. */
    std::map<std::string, std::set<std::string>> figures()
    {
        std::map<std::string, std::set<std::string>> byWindow;
        for (const ReceivedReport &received : receiver.received())
            byWindow[received.report.windowId].insert(received.report.sealedFigures);
        return byWindow;
    }

    bool hasTwoFigures()
    {
        for (const auto &[id, variants] : figures()) {
            if (variants.size() > 1)
                return true;
        }
        return false;
    }

    std::uint64_t billed(const std::string &key)
    {
        std::uint64_t sum = 0;
        for (const auto &[id, variants] : figures()) {
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

TEST_CASE("use at several instances is billed once")
{
    World world;
    Node &a = world.add("a");
    Node &b = world.add("b");
    world.giveDuty(a, 1, longLease);
    for (int i = 0; i < 30; ++i) {
        world.use(a, 10);
        world.use(b, 7);
        world.run(Millis::seconds(7));
    }
    world.run(Millis::minutes(3));
    CHECK(world.billed("prompt_tokens") == 30 * 17);
    CHECK(world.billed("requests") == 60);
    CHECK(!world.hasTwoFigures());
    CHECK(a.reporter->unreported() == 0);
}

// The platform's answer to a report is lost, and the holder with it. The next holder repeats the
// report after more use was counted; a client must not find two figures for one window.
TEST_CASE("a repeated report carries the same figures, also from another holder")
{
    const auto play = [](World &world) {
        Node &a = world.add("a");
        Node &b = world.add("b");
        world.giveDuty(a, 1, Millis::seconds(200));
        world.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            const bool isReport = message.endpoint == FakeUsageReceiver::endpoint;
            fate.lost = isReport && message.leg == MessageLeg::Reply && message.process == "a";
            return fate;
        });
        for (int i = 0; i < 25; ++i) {
            world.use(a, 10);
            world.use(b, 7);
            world.run(Millis::seconds(7));
        }
        world.run(Millis::seconds(60));
        world.giveDuty(b, 2, longLease);
        world.use(a, 100);
        world.run(Millis::minutes(4));
    };
    World world;
    play(world);
    CHECK(!world.hasTwoFigures());
    CHECK(world.billed("prompt_tokens") == 25 * 17 + 100);

    DisabledGuard disabled(Guard::ReportFromSeal);
    World unguarded;
    play(unguarded);
    CHECK(unguarded.hasTwoFigures());
}

// An instance cannot reach the store for a while, and its use arrives after its window was sealed.
// The sealed figures stay; the use appears in the next window, marked, so that the bill adds up.
TEST_CASE("late use goes into the next window and is marked")
{
    World world;
    Node &a = world.add("a");
    Node &b = world.add("b");
    world.giveDuty(a, 1, longLease);
    world.run(Millis::seconds(5));
    world.use(b, 50);
    world.network.setCut("b", "*", true);
    world.run(Millis::seconds(85));
    world.network.setCut("b", "*", false);
    world.run(Millis::minutes(3));
    CHECK(world.billed("prompt_tokens") == 50);
    CHECK(world.billed("late") == 50);
    CHECK(!world.hasTwoFigures());
}

// An instance dies with counts in memory. What it had written is billed once and its object is
// cleared away; what it had not written is lost, and that is at most one flush period's.
TEST_CASE("a dead instance's counters are closed, and the loss is bounded")
{
    World world;
    Node &a = world.add("a");
    Node &b = world.add("b");
    world.giveDuty(a, 1, longLease);
    for (int second = 0; second < 45; ++second) {
        world.use(b, 1);
        world.run(Millis::seconds(1));
    }
    b.process->kill();
    world.run(Millis::minutes(8));
    CHECK(world.billed("prompt_tokens") <= 45);
    CHECK(world.billed("prompt_tokens") >= 45 - 12);
    CHECK(world.store.value(UsageFlusher::prefix(team) + "b-1").empty());
    CHECK(!world.hasTwoFigures());
}

// An instance is taken for dead while it is only paused. Its counters were folded and removed;
// when it goes on, what it counts must be billed without billing the old figures again.
TEST_CASE("an instance that was taken for dead goes on counting without counting twice")
{
    World world;
    Node &a = world.add("a");
    Node &b = world.add("b");
    world.giveDuty(a, 1, longLease);
    world.use(b, 40);
    world.run(Millis::seconds(20));
    b.life = "unknown";
    b.process->pauseUntil(Millis::minutes(10));
    world.run(Millis::minutes(11));
    CHECK(world.billed("prompt_tokens") == 40);
    world.use(b, 5);
    world.run(Millis::minutes(4));
    CHECK(world.billed("prompt_tokens") == 45);
    CHECK(!world.hasTwoFigures());
}

// A planned stop must lose nothing.
TEST_CASE("a planned stop writes everything")
{
    World world;
    Node &a = world.add("a");
    Node &b = world.add("b");
    world.giveDuty(a, 1, longLease);
    world.use(b, 40);
    b.flusher->stop();
    world.run(Millis(500));
    CHECK(b.flusher->isFlushed());
    b.process->kill();
    world.run(Millis::minutes(4));
    CHECK(world.billed("prompt_tokens") == 40);
}

// Two instances both believe to be in charge, one of them with counters it read earlier. The
// window must have one set of figures whoever comes first.
TEST_CASE("two who seal the same window report the same figures")
{
    const auto play = [](World &world) {
        Node &a = world.add("a");
        Node &b = world.add("b");
        world.giveDuty(a, 1, longLease);
        world.giveDuty(b, 2, longLease);
        world.store.setReadLag("b", Millis::seconds(25));
        for (int i = 0; i < 60; ++i) {
            world.use(a, 10);
            world.run(Millis::seconds(5));
        }
        world.run(Millis::minutes(3));
    };
    World world;
    play(world);
    CHECK(!world.hasTwoFigures());
    CHECK(world.billed("prompt_tokens") == 600);

    DisabledGuard disabled(Guard::SealCreatedOnce);
    World unguarded;
    play(unguarded);
    CHECK(unguarded.hasTwoFigures());
}

// Answers of the store are lost at random over a long time. The bill must come out right.
TEST_CASE("lost answers change no bill")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        World world;
        RandomHook random = seededRandom(seed);
        Node &a = world.add("a");
        Node &b = world.add("b");
        world.giveDuty(a, 1, longLease);
        world.network.setHook([&](const FakeMessage &) {
            MessageFate fate;
            fate.lost = random() % 8 == 0;
            return fate;
        });
        for (int i = 0; i < 40; ++i) {
            world.use(a, 10);
            world.use(b, 7);
            world.run(Millis::seconds(7));
        }
        world.run(Millis::minutes(5));
        CHECK(world.billed("prompt_tokens") == 40 * 17);
        CHECK(!world.hasTwoFigures());
    }
}

TEST_CASE("windows are named by the calendar")
{
    const UsageWindows fiveMinutes(Millis::minutes(5));
    CHECK(fiveMinutes.nameOf(fiveMinutes.indexAt(Millis(1796206500000))) == "2026-12-02T10:15:00");
    CHECK(fiveMinutes.nameOf(0) == "1970-01-01T00:00:00");
}

TEST_CASE("the flush period keeps the store's writes bounded at any size")
{
    CHECK(flushPeriod(8, 3) == Millis::seconds(10));
    CHECK(flushPeriod(370, 10) == Millis(92500));
}

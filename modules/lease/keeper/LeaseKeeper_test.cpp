#include "lease/lease.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>

using namespace cuminrail;

namespace {

/** One instance with nothing but its leases. */
struct Node
{
    FakeProcessPtr process;
    std::unique_ptr<LeaseKeeper> keeper;
    /** This node's clock differs from others'. */
    Millis clockOffset;
};

/** Some instances, one store, and a look at who believes what after every tick. */
class Cluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<std::string> duties{"domain/kgl-a"};
    std::vector<InstanceId> members;
    std::map<std::string, Node> nodes;
    std::size_t mostBelievers = 0;
    bool fenceFell = false;
    Millis tickEvery{50};

    explicit Cluster(std::uint64_t seed = 1) : scheduler(seed) { }

    void start(const std::string &name, Incarnation incarnation = 1)
    {
        Node &node = nodes[name + "/" + std::to_string(incarnation)];
        node.process = std::make_shared<FakeProcess>(name);
        node.clockOffset = Millis(static_cast<std::int64_t>(nodes.size()) * 1234567);
        members.emplace_back(name);
        LeaseKeeper::Hooks hooks{
            store.port(node.process),
            Clock([this, &node] { return scheduler.now() + node.clockOffset; }),
            scheduler.random(),
            ignoreEvents(),
            [this] { return duties; },
            [this] { return members; },
            {},
            {}};
        node.keeper = std::make_unique<LeaseKeeper>(InstanceLife{InstanceId(name), incarnation},
                                                    LeaseTiming{}, std::move(hooks));
    }

    void run(Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(tickEvery);
            for (auto &[name, node] : nodes) {
                if (node.process->isRunning(scheduler.now()))
                    node.keeper->tick();
            }
            look();
        }
    }

    std::vector<std::string> believers(const std::string &duty)
    {
        std::vector<std::string> names;
        for (auto &[name, node] : nodes) {
            if (node.process->isRunning(scheduler.now())
                && node.keeper->authority(duty, scheduler.now() + node.clockOffset))
                names.push_back(name);
        }
        return names;
    }

    FenceNumber fence(const std::string &duty)
    {
        const auto record = LeaseRecord::fromText(store.value(DutyLease::path(duty)), nullptr);
        return record ? record->fence : 0;
    }

    Node &holder()
    {
        const auto names = believers(duties.front());
        REQUIRE(names.size() == 1);
        return nodes.at(names.front());
    }

private:
    void look()
    {
        for (const std::string &duty : duties) {
            mostBelievers = std::max(mostBelievers, believers(duty).size());
            fenceFell = fenceFell || fence(duty) < fences_[duty];
            fences_[duty] = std::max(fences_[duty], fence(duty));
        }
    }

    std::map<std::string, FenceNumber> fences_;
};

} // namespace

// The holder of a duty is killed. Nothing may be ordered for its domain until another instance
// takes over; operators were told that this takes ten seconds at most.
TEST_CASE("a crashed holder is replaced within ten seconds, with a higher fence")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        Cluster cluster(seed);
        for (const char *name : {"a", "b", "c", "d", "e"})
            cluster.start(name);
        cluster.run(Millis::seconds(20));
        const FenceNumber before = cluster.fence("domain/kgl-a");
        cluster.holder().process->kill();
        cluster.run(Millis::seconds(10));
        CHECK(cluster.believers("domain/kgl-a").size() == 1);
        CHECK(cluster.fence("domain/kgl-a") == before + 1);
        CHECK(cluster.mostBelievers == 1);
    }
}

// The machine under the holder is suspended for longer than the lease and then goes on in the
// middle of what it was doing. It must know at once that it may order nothing any more.
TEST_CASE("a holder that was paused past its lease does not believe in it when it goes on")
{
    Cluster cluster;
    for (const char *name : {"a", "b", "c"})
        cluster.start(name);
    cluster.run(Millis::seconds(10));
    Node &paused = cluster.holder();
    paused.process->pauseUntil(cluster.scheduler.now() + Millis::seconds(30));
    cluster.run(Millis::seconds(29));
    CHECK(cluster.believers("domain/kgl-a").size() == 1);
    cluster.run(Millis::seconds(10));
    CHECK(cluster.mostBelievers == 1);
    CHECK(!paused.keeper->authority("domain/kgl-a", cluster.scheduler.now() + paused.clockOffset));
}

TEST_CASE("a planned stop hands the duty over without waiting out the term")
{
    Cluster cluster;
    for (const char *name : {"a", "b", "c"})
        cluster.start(name);
    cluster.run(Millis::seconds(10));
    Node &leaving = cluster.holder();
    leaving.keeper->stop();
    cluster.run(Millis::seconds(4));
    CHECK(leaving.keeper->isStopped());
    CHECK(cluster.believers("domain/kgl-a").size() == 1);
    CHECK(cluster.mostBelievers == 1);
}

// Every third answer to a write is lost after the write took effect. A holder that simply tried
// again would fail against its own write and give up a duty that it holds, so that duties wander.
TEST_CASE("lost answers neither move a duty nor make two holders")
{
    Cluster cluster;
    std::size_t writeAnswers = 0;
    cluster.network.setHook([&](const FakeMessage &message) {
        MessageFate fate;
        const bool isWriteAnswer = message.leg == MessageLeg::Reply && message.operation == "put";
        fate.lost = isWriteAnswer && ++writeAnswers % 3 == 0;
        return fate;
    });
    for (const char *name : {"a", "b", "c"})
        cluster.start(name);
    cluster.run(Millis::seconds(20));
    const FenceNumber before = cluster.fence("domain/kgl-a");
    cluster.run(Millis::minutes(2));
    CHECK(cluster.mostBelievers == 1);
    CHECK(cluster.fence("domain/kgl-a") == before);
    CHECK(!cluster.fenceFell);
}

// The platform's store is out for an hour. Every lease lapses; when the store returns, hundreds
// of instances must not all call in the same second and bring it down again.
TEST_CASE("an outage of an hour ends all belief, and the return is spread out")
{
    Cluster cluster;
    cluster.duties.clear();
    for (int i = 0; i < 20; ++i)
        cluster.duties.push_back("team/t" + std::to_string(i));
    for (int i = 0; i < 40; ++i)
        cluster.start("i" + std::to_string(i));
    cluster.run(Millis::seconds(20));
    cluster.network.setDown("store", true);
    cluster.tickEvery = Millis(500);
    cluster.run(Millis::minutes(60));
    cluster.tickEvery = Millis(50);
    std::size_t believers = 0;
    for (const std::string &duty : cluster.duties)
        believers += cluster.believers(duty).size();
    CHECK(believers == 0);

    const StoreCallCounts before = cluster.store.counts();
    cluster.network.setDown("store", false);
    cluster.run(Millis::seconds(1));
    const StoreCallCounts after = cluster.store.counts();
    CHECK(after.gets - before.gets + after.lists - before.lists <= 40);
    cluster.run(Millis::seconds(20));
    for (const std::string &duty : cluster.duties) {
        INFO(duty);
        CHECK(cluster.believers(duty).size() == 1);
    }
    CHECK(cluster.mostBelievers == 1);
}

TEST_CASE("duties are spread, also over instances that come later")
{
    Cluster cluster;
    cluster.duties.clear();
    for (int i = 0; i < 12; ++i)
        cluster.duties.push_back("team/t" + std::to_string(i));
    cluster.start("a");
    cluster.run(Millis::seconds(10));
    CHECK(cluster.nodes.begin()
              ->second.keeper
              ->held(cluster.scheduler.now() + cluster.nodes.begin()->second.clockOffset)
              .size()
          == 12);
    for (const char *name : {"b", "c", "d"})
        cluster.start(name);
    cluster.run(Millis::minutes(3));
    for (const auto &entry : cluster.nodes) {
        const Node &node = entry.second;
        INFO(entry.first);
        CHECK(node.keeper->held(cluster.scheduler.now() + node.clockOffset).size() <= 4);
    }
    CHECK(cluster.mostBelievers == 1);
}

// What the platform is asked for must not grow with the fleet, or its rates are used up by
// instances that merely look on.
TEST_CASE("the store's load follows the duties, not the instances")
{
    Cluster cluster;
    cluster.duties.clear();
    for (int i = 0; i < 20; ++i)
        cluster.duties.push_back("team/t" + std::to_string(i));
    for (int i = 0; i < 60; ++i)
        cluster.start("i" + std::to_string(i));
    cluster.run(Millis::seconds(30));
    const StoreCallCounts before = cluster.store.counts();
    cluster.run(Millis::seconds(60));
    const StoreCallCounts after = cluster.store.counts();
    CHECK((after.puts - before.puts) / 60 <= 15);
    CHECK((after.gets - before.gets) / 60 <= 40);
    CHECK((after.lists - before.lists) / 60 <= 3);
    CHECK(after.watches == 0);
}

// Each guard keeps two instances from believing at the same time. With it switched off the very
// failure it is there for must show, or nothing proves that it is needed.
TEST_CASE("without its guards a lease is held by two")
{
    struct Row
    {
        Guard guard;
        Millis storeDelay;
        bool losesReplies;
    };
    const std::vector<Row> rows = {
        {Guard::SuccessorWaitsFullTerm, Millis(0), false},
        {Guard::LostAnswerReadBack, Millis(0), true},
    };
    for (const Row &row : rows) {
        INFO(guardNames.name(row.guard));
        DisabledGuard disabled(row.guard);
        Cluster cluster;
        cluster.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            fate.lost = row.losesReplies && message.leg == MessageLeg::Request
                && message.operation == "put" && message.process == "a"
                && message.when > Millis(8000);
            return fate;
        });
        cluster.start("a");
        cluster.run(Millis::seconds(6));
        cluster.start("b");
        cluster.start("c");
        cluster.run(Millis::seconds(30));
        CHECK(cluster.mostBelievers > 1);
    }
}

// The answer to a renewal takes almost the whole term to come back, and the next ones are lost. A
// holder that counted from the answer would go on believing while its successor already acts.
TEST_CASE("a slow answer shortens the lease, and counting from the answer would not")
{
    const auto believers = [](std::uint64_t seed) {
        Cluster cluster(seed);
        cluster.start("a");
        cluster.run(Millis::seconds(6));
        cluster.start("b");
        cluster.start("c");
        cluster.run(Millis(2000 + 70 * static_cast<std::int64_t>(seed)));
        bool delayed = false;
        cluster.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            const bool isWrite = message.process == "a" && message.operation == "put";
            const bool isLate = isWrite && message.leg == MessageLeg::Reply && !delayed;
            fate.delay = isLate ? Millis(900) : Millis(0);
            fate.lost = message.process == "a" && delayed;
            delayed = delayed || isLate;
            return fate;
        });
        cluster.run(Millis::seconds(20));
        return cluster.mostBelievers;
    };
    const auto most = [&] {
        std::size_t found = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
            found = std::max(found, believers(seed));
        return found;
    };
    CHECK(most() == 1);
    DisabledGuard disabled(Guard::LeaseCountedFromSend);
    CHECK(most() == 2);
}

// A restarted instance has its former life's name. The former life may be paused, not dead; its
// lease is waited out like anyone's.
TEST_CASE("a new life of the same instance waits for the former one's lease")
{
    Cluster cluster;
    cluster.start("a", 1);
    cluster.run(Millis::seconds(6));
    cluster.start("a", 2);
    cluster.run(Millis::seconds(20));
    CHECK(cluster.mostBelievers == 1);
    CHECK(cluster.believers("domain/kgl-a") == std::vector<std::string>{"a/1"});
}

// A read that lags shows an older holder, or no lease at all. Acting on it must not put the fence
// back nor take the duty from its holder.
TEST_CASE("lagging reads move nothing")
{
    Cluster cluster;
    for (const char *name : {"a", "b", "c"})
        cluster.start(name);
    cluster.run(Millis::seconds(10));
    for (const char *name : {"a", "b", "c"})
        cluster.store.setReadLag(name, Millis::seconds(4));
    const FenceNumber before = cluster.fence("domain/kgl-a");
    cluster.run(Millis::minutes(1));
    CHECK(cluster.mostBelievers == 1);
    CHECK(cluster.fence("domain/kgl-a") == before);
    CHECK(!cluster.fenceFell);
}

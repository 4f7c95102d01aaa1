#include "lease/lease.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>

using namespace cuminrail;

namespace {

/** Instances that compete for one lease and act under it in each tick in which they may. */
class ActingCluster
{
public:
    ActingCluster(int instances, std::uint64_t seed) : scheduler(seed)
    {
        for (int i = 0; i < instances; ++i)
            start(i);
    }

    void start(int i)
    {
        Node &node = nodes_[i];
        node.process = std::make_shared<FakeProcess>("i-" + std::to_string(i));
        DutyLease::Hooks hooks{store.port(node.process),
                               Clock([this] { return scheduler.now(); }),
                               scheduler.random(),
                               ignoreEvents(),
                               nullptr,
                               nullptr};
        node.lease = std::make_unique<DutyLease>(
            "fleet", InstanceIncarnation{InstanceId("i-" + std::to_string(i)), ++incarnations_},
            LeaseTiming(), std::move(hooks));
    }
    void kill(int i) { nodes_.at(i).process->kill(); }
    FakeProcess &process(int i) { return *nodes_.at(i).process; }

    /** Returns the instance that acted last, or -1. */
    int holder() const { return lastActor_; }

    void run(Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(50));
            for (auto &[i, node] : nodes_) {
                if (!node.process->isRunning(scheduler.now()))
                    continue;
                Candidacy candidacy;
                candidacy.isCandidate = true;
                candidacy.rank = static_cast<std::size_t>(i);
                node.lease->tick(candidacy);
                if (const auto authority = node.lease->authority(scheduler.now()))
                    act(i, authority->fence);
            }
        }
    }

    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    /** Calls under a fence that another instance has used. */
    int sharedFences = 0;
    /** Calls under a fence below one that was used before. */
    int lowerFences = 0;
    int actions = 0;

private:
    struct Node
    {
        FakeProcessPtr process;
        std::unique_ptr<DutyLease> lease;
    };

    void act(int i, FenceNumber fence)
    {
        ++actions;
        lastActor_ = i;
        const int user = users_.emplace(fence, i).first->second;
        sharedFences += user != i ? 1 : 0;
        lowerFences += fence < highest_ ? 1 : 0;
        highest_ = std::max(highest_, fence);
    }

    std::map<int, Node> nodes_;
    std::map<FenceNumber, int> users_;
    FenceNumber highest_ = 0;
    int lastActor_ = -1;
    Incarnation incarnations_ = 0;
};

using Fault = std::function<void(ActingCluster &, Millis age)>;

void restoreOnly(ActingCluster &cluster, Millis age)
{
    cluster.store.restore(age);
}

void awayBefore(ActingCluster &cluster, Millis age)
{
    cluster.network.setDown("store", true);
    cluster.run(Millis(2500));
    cluster.store.restore(age);
    cluster.network.setDown("store", false);
}

void holderKilled(ActingCluster &cluster, Millis age)
{
    cluster.kill(cluster.holder());
    cluster.store.restore(age);
}

void holderRestarted(ActingCluster &cluster, Millis age)
{
    const int holder = cluster.holder();
    cluster.kill(holder);
    cluster.store.restore(age);
    cluster.start(holder);
}

void holderMovedBefore(ActingCluster &cluster, Millis age)
{
    cluster.kill(cluster.holder());
    cluster.run(Millis::seconds(12));
    cluster.store.restore(age + Millis::seconds(3));
}

void holderFrozen(ActingCluster &cluster, Millis age)
{
    cluster.process(cluster.holder()).pauseUntil(cluster.scheduler.now() + Millis(3500));
    cluster.run(Millis(1000));
    cluster.store.restore(age);
}

void twiceInARow(ActingCluster &cluster, Millis age)
{
    cluster.store.restore(age);
    cluster.run(Millis(700));
    cluster.store.restore(age);
}

void leaseLost(ActingCluster &cluster, Millis)
{
    cluster.store.restore(Millis::minutes(5));
}

} // namespace

// Guards against two holders, and a fence used twice, after the store lost acknowledged leases.
TEST_CASE("after the store came back from a copy no fence is used by two holders or falls")
{
    struct Row
    {
        const char *name;
        Fault fault;
    };
    for (const Row &row :
         {Row{"nothing else", restoreOnly}, Row{"the store was away before", awayBefore},
          Row{"the holder is killed", holderKilled}, Row{"the holder restarts", holderRestarted},
          Row{"the holder had changed", holderMovedBefore},
          Row{"the holder is frozen", holderFrozen}, Row{"twice in a row", twiceInARow},
          Row{"the lease itself is lost", leaseLost}}) {
        for (const Millis age : {Millis(300), Millis(2000), Millis(6000)}) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                CAPTURE(std::string(row.name));
                CAPTURE(age.count());
                CAPTURE(seed);
                ActingCluster cluster(4, seed);
                cluster.run(Millis::seconds(20) + Millis(static_cast<std::int64_t>(seed) * 130));
                REQUIRE(cluster.actions > 0);
                row.fault(cluster, age);
                cluster.run(Millis::seconds(25));
                const int before = cluster.actions;
                cluster.run(Millis::seconds(5));
                CHECK(cluster.actions > before);
                CHECK(cluster.sharedFences == 0);
                CHECK(cluster.lowerFences == 0);
            }
        }
    }
}

// Guards against duties that stand still for a term each time the store comes back.
TEST_CASE("a holder whose lease lasts goes on under its fence after the store came back")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        ActingCluster cluster(4, seed);
        cluster.run(Millis::seconds(20));
        const int holder = cluster.holder();
        const int before = cluster.actions;
        cluster.store.restore(Millis(2000));
        cluster.run(Millis::seconds(10));
        CHECK(cluster.holder() == holder);
        // It acts once a tick of 50 ms; one renewal may be lost.
        CHECK(cluster.actions - before >= 190);
    }
}

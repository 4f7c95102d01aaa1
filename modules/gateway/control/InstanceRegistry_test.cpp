#include <doctest/doctest.h>

#include "gateway/control/InstanceGroup.h"
#include "gateway/control/InstanceRegistry.h"
#include "ports/testing/testing.h"

#include <algorithm>
#include <memory>
#include <set>

using namespace cuminrail;

namespace {

constexpr std::size_t domains = 5;

RegisteredInstance instanceAt(std::size_t place)
{
    const std::string name = "i-" + std::to_string(place);
    return {InstanceId(name), name + ":1", name + ":2", "d-" + std::to_string(place % domains)};
}

/** Instances that register in one store, in virtual time. */
class RegistryCluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<FakeProcessPtr> processes;
    std::vector<std::unique_ptr<InstanceRegistry>> registries;

    RegistryCluster(std::size_t count, std::uint64_t seed) : scheduler(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            start(i, true);
        scheduler.every(Millis(100), [this] {
            for (std::size_t i = 0; i < registries.size(); ++i) {
                if (processes[i]->isRunning(scheduler.now()))
                    registries[i]->tick();
            }
        });
    }

    void start(std::size_t place, bool startsWithOthers)
    {
        processes.push_back(std::make_shared<FakeProcess>("p-" + std::to_string(processes.size())));
        registries.push_back(std::make_unique<InstanceRegistry>(
            instanceAt(place), startsWithOthers, store.port(processes.back()), scheduler.clock(),
            scheduler.random()));
    }

    std::uint64_t sent() const
    {
        const auto &messages = network.messages();
        return static_cast<std::uint64_t>(
            std::count_if(messages.begin(), messages.end(), [](const FakeMessage &message) {
                return message.leg == MessageLeg::Request;
            }));
    }

    std::size_t knownBy(std::size_t place) const { return registries[place]->instances().size(); }
};

} // namespace

TEST_CASE("instances that start together know one another after one write and two lists each")
{
    for (const std::size_t count : {std::size_t{1}, std::size_t{6}, std::size_t{200}}) {
        CAPTURE(count);
        RegistryCluster cluster(count, 3);
        cluster.scheduler.runFor(Millis::seconds(15));
        for (std::size_t i = 0; i < count; ++i) {
            CHECK(cluster.knownBy(i) == count);
            CHECK(cluster.registries[i]->isSettled());
        }
        CHECK(cluster.sent() == 3 * count);
    }
}

// A process is replaced by another one while the others run. It must not take itself for one of
// few, and act alone, until a second look.
TEST_CASE("an instance that starts later knows the others after its first list")
{
    RegistryCluster cluster(20, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.start(20, false);
    cluster.scheduler.runFor(Millis(300));
    CHECK(cluster.registries.back()->isSettled());
    CHECK(cluster.knownBy(20) == 21);
}

// The store answers nobody for half a minute. Two hundred instances that each try again every two
// seconds would make six thousand calls in vain, and meet the store together when it is back.
TEST_CASE("an outage of the store does not multiply the registry's calls")
{
    RegistryCluster cluster(200, 3);
    cluster.scheduler.runFor(Millis::seconds(50));
    cluster.network.setDown(FakeObjectStore::endpoint, true);
    const std::uint64_t before = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(30));
    // A write and a list come due for each; doubled spans leave five tries of each at the most.
    CHECK(cluster.sent() - before <= 200 * 2 * 5);
    cluster.network.setDown(FakeObjectStore::endpoint, false);
    const std::uint64_t back = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(1));
    CHECK(cluster.sent() - back <= 200 / 2);
    cluster.scheduler.runFor(Millis::seconds(200));
    for (std::size_t i = 0; i < 200; ++i)
        CHECK(cluster.knownBy(i) == 200);
}

TEST_CASE("an instance that is gone for good is left out in time")
{
    RegistryCluster cluster(6, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.processes[4]->kill();
    cluster.scheduler.runFor(Millis::seconds(110));
    CHECK(cluster.knownBy(0) == 5);
}

// Instances see the registry at different moments. Those that agree on who is registered must agree
// on who acts for a domain, and nobody acts for another domain.
TEST_CASE("the instances of a domain agree on who acts for it")
{
    std::vector<RegisteredInstance> all;
    for (std::size_t i = 0; i < 60; ++i)
        all.push_back(instanceAt(i));
    std::set<PeerAddress> firsts;
    for (std::size_t self = 0; self < 60; ++self) {
        const InstanceGroup group = InstanceGroup::of(all, all[self]);
        REQUIRE(group.isShared);
        REQUIRE(group.watchOrder.size() == 12);
        const auto own = std::count(group.watchOrder.begin(), group.watchOrder.end(), "");
        CHECK(own == 1);
        const PeerAddress first = group.watchOrder.front();
        firsts.insert(first.empty() ? all[self].links : first);
    }
    CHECK(firsts.size() == domains);
    const std::vector<RegisteredInstance> few(all.begin(), all.begin() + 35);
    CHECK_FALSE(InstanceGroup::of(few, all[0]).isShared);
}

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

RegisteredInstance instanceAt(std::size_t index)
{
    const std::string name = "i-" + std::to_string(index);
    return {InstanceId(name), name + ":1", name + ":2", "d-" + std::to_string(index % domains)};
}

/** Instances that register in one store, in simulated time. */
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

    void start(std::size_t index, bool startsWithOthers)
    {
        processes.push_back(std::make_shared<FakeProcess>("p-" + std::to_string(processes.size())));
        registries.push_back(std::make_unique<InstanceRegistry>(
            instanceAt(index), startsWithOthers,
            InstanceRegistry::Hooks{store.port(processes.back()), scheduler.clock(),
                                    scheduler.random()}));
    }

    std::uint64_t sent() const
    {
        const auto &messages = network.messages();
        return static_cast<std::uint64_t>(
            std::count_if(messages.begin(), messages.end(), [](const FakeMessage &message) {
                return message.leg == MessageLeg::Request;
            }));
    }

    std::size_t knownCount(std::size_t index) const
    {
        return registries[index]->instances().size();
    }
};

} // namespace

// Guards against a start of all instances in which each of them lists all others: what the store
// sends would grow with the square of their number.
TEST_CASE("instances that start together know one another after one write and one read each")
{
    for (const std::size_t count : {1U, 6U, 200U, 1000U}) {
        CAPTURE(count);
        RegistryCluster cluster(count, 3);
        cluster.scheduler.runFor(Millis::seconds(6));
        for (std::size_t i = 0; i < count; ++i) {
            CHECK(cluster.knownCount(i) == count);
            CHECK(cluster.registries[i]->isSettled());
        }
        // Those that find no roster list the entries, write one, and read it if another was first.
        constexpr std::size_t founders = 4;
        CHECK(cluster.store.counts().lists <= founders + count / 100);
        CHECK(cluster.sent() <= 2 * count + 4 * (founders + count / 100));
    }
}

// Guards against a roster that exceeds the size of an object in the store, 1 MiB.
TEST_CASE("the roster's size grows with the instances, by a bounded number of bytes for each")
{
    constexpr std::size_t maxBytesEach = 100;
    for (const std::size_t count : {1000U, 2000U, 10000U}) {
        InstanceRoster roster{std::string(64, 'a'), {}};
        for (std::size_t i = 0; i < count; ++i)
            roster.instances.push_back({InstanceId("front-nyamirambo-" + std::to_string(i)),
                                        "10.15.101.231:8367", "10.15.101.231:7780", "nyamirambo",
                                        1000});
        const std::string text = encodeRoster(roster);
        CHECK(text.size() <= count * maxBytesEach);
        Reason reason;
        const auto decoded = decodeRoster(text, &reason);
        REQUIRE(decoded);
        CHECK(decoded->instances.size() == count);
        CHECK(decoded->secret == roster.secret);
    }
}

// Guards against an instance that no other one knows, as the roster was written before it
// registered.
TEST_CASE("an instance that is missing in the roster is added by its maintainer, or by itself")
{
    for (const bool hasMaintainer : {true, false}) {
        CAPTURE(hasMaintainer);
        RegistryCluster cluster(20, 3);
        cluster.scheduler.runFor(Millis::seconds(5));
        cluster.registries[7]->setMaintainer(hasMaintainer);
        cluster.start(20, false);
        cluster.scheduler.runFor(Millis::seconds(45));
        for (std::size_t i = 0; i <= 20; ++i)
            CHECK(cluster.knownCount(i) == 21);
    }
}

// Guards against a roster that another build wrote, or that is damaged.
TEST_CASE("a roster that cannot be read is replaced from the entries")
{
    for (const char *text : {"", "[]", R"({"secret":1})",
                             R"({"secret":"","domains":[],"instances":[["a",0,1,"",""]]})"}) {
        CAPTURE(text);
        RegistryCluster cluster(6, 3);
        cluster.store.write("rosters/all", text);
        cluster.scheduler.runFor(Millis::seconds(6));
        for (std::size_t i = 0; i < 6; ++i)
            CHECK(cluster.knownCount(i) == 6);
        Reason reason;
        const auto roster = decodeRoster(cluster.store.value("rosters/all"), &reason);
        REQUIRE(roster);
        CHECK(roster->instances.size() == 6);
    }
}

// A process is replaced while the other instances run. The new one must not assume that it is one
// of few, and act alone, until its second read.
TEST_CASE("an instance that starts later knows the others after its first read")
{
    RegistryCluster cluster(20, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.start(20, false);
    cluster.scheduler.runFor(Millis(300));
    CHECK(cluster.registries.back()->isSettled());
    CHECK(cluster.knownCount(20) == 21);
}

// The store is down for half a minute. If 200 instances retried every two seconds, they would make
// 6,000 calls in vain, and all reach the store at once when it recovers.
TEST_CASE("an outage of the store does not multiply the registry's calls")
{
    RegistryCluster cluster(200, 3);
    cluster.scheduler.runFor(Millis::seconds(50));
    cluster.network.setDown(FakeObjectStore::endpoint, true);
    const std::uint64_t before = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(30));
    // One write and one list become due per instance; with doubled delays each is tried five times
    // at most.
    CHECK(cluster.sent() - before <= 200 * 2 * 5);
    cluster.network.setDown(FakeObjectStore::endpoint, false);
    const std::uint64_t back = cluster.sent();
    cluster.scheduler.runFor(Millis::seconds(1));
    CHECK(cluster.sent() - back <= 200 / 2);
    cluster.scheduler.runFor(Millis::seconds(200));
    for (std::size_t i = 0; i < 200; ++i)
        CHECK(cluster.knownCount(i) == 200);
}

// Guards against instances that the store lost and the others count as gone until their next
// refresh.
TEST_CASE("entries that the store lost are written again, and no list is read before")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        RegistryCluster cluster(20, seed);
        cluster.scheduler.runFor(Millis::seconds(8));
        cluster.store.restore(Millis::minutes(1));
        for (const auto &registry : cluster.registries)
            registry->storeRestored();
        for (int i = 0; i < 60; ++i) {
            cluster.scheduler.runFor(Millis(100));
            for (const auto &registry : cluster.registries)
                CHECK(registry->instances().size() == 20);
        }
        for (int i = 0; i < 20; ++i)
            CHECK(!cluster.store.value("instances/i-" + std::to_string(i)).empty());
    }
}

// An entry that is never refreshed would count as an instance forever.
TEST_CASE("an instance that ended without leaving is omitted after missed refreshes")
{
    RegistryCluster cluster(6, 3);
    cluster.scheduler.runFor(Millis::seconds(5));
    cluster.registries[1]->setMaintainer(true);
    cluster.scheduler.runFor(Millis::seconds(1));
    cluster.processes[4]->kill();
    cluster.scheduler.runFor(Millis::seconds(110));
    CHECK(cluster.knownCount(0) == 5);
    CHECK(cluster.store.value("instances/i-4").empty());
}

// Instances read the registry at different times. Those that see the same entries must choose the
// same instances to act for their failure domain, and only instances of that domain.
TEST_CASE("the instances of a failure domain agree on which of them act for it")
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
    const std::vector<RegisteredInstance> few(all.begin(),
                                              all.begin() + InstanceGroup::minMergedSize - 1);
    CHECK_FALSE(InstanceGroup::of(few, all[0]).isShared);
}

// Guards against one call to the store from each instance for every change, where failure domains
// are too small for a group each.
TEST_CASE("small failure domains form one group, and large ones do not belong to it")
{
    std::vector<RegisteredInstance> all;
    for (std::size_t i = 0; i < 18; ++i)
        all.push_back(instanceAt(i));
    for (const RegisteredInstance &self : all) {
        const InstanceGroup group = InstanceGroup::of(all, self);
        CHECK(group.isShared);
        CHECK(group.watchOrder.size() == all.size());
    }
    for (std::size_t i = 0; i < InstanceGroup::minSharedSize; ++i) {
        RegisteredInstance large = instanceAt(100 + i);
        large.failureDomain = "large";
        all.push_back(large);
    }
    CHECK(InstanceGroup::of(all, all[0]).watchOrder.size() == 18);
    CHECK(InstanceGroup::of(all, all.back()).watchOrder.size() == InstanceGroup::minSharedSize);
}

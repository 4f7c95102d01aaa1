#include "capacity/capacity.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>

using namespace cuminrail;

namespace {

const Zone zone{FailureDomainId("kgl-a"), CostClass::Reclaimable};

struct Holder
{
    FakeProcessPtr process;
    Authority lease;
    std::unique_ptr<FleetKeeper> keeper;
};

class World
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeFleet fleet{network};
    std::vector<std::unique_ptr<Holder>> holders;

    Holder &add(const std::string &name, FenceNumber fence, Millis span)
    {
        holders.push_back(std::make_unique<Holder>());
        Holder &holder = *holders.back();
        holder.process = std::make_shared<FakeProcess>(name);
        holder.lease = Authority{fence, scheduler.now() + span};
        FleetKeeper::Hooks hooks{store.port(holder.process),
                                 fleet.port(holder.process),
                                 scheduler.clock(),
                                 scheduler.random(),
                                 ignoreEvents(),
                                 [this, &holder]() -> std::optional<Authority> {
                                     if (scheduler.now() >= holder.lease.notAfter)
                                         return std::nullopt;
                                     return holder.lease;
                                 }};
        holder.keeper = std::make_unique<FleetKeeper>(zone, std::move(hooks));
        holder.keeper->taken();
        return holder;
    }

    void run(Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(50));
            for (auto &holder : holders) {
                if (holder->process->isRunning(scheduler.now()))
                    holder->keeper->tick();
            }
        }
    }

    bool insist(Holder &holder, std::uint32_t count)
    {
        for (int i = 0; i < 300; ++i) {
            if (holder.keeper->request(count, nullptr))
                return true;
            run(Millis(100));
        }
        return false;
    }

    std::uint32_t target() { return fleet.status(zone.domain, zone.costClass).target.count; }
};

} // namespace

// The holder dies at any message of declaring a target, with its message late on the way. Its
// successor wants another number; the platform must end with that one.
TEST_CASE("a successor's target is the one that stands")
{
    for (std::size_t step = 0; step < 8; ++step) {
        INFO("step " << step);
        World world;
        Holder &first = world.add("a", 1, Millis::seconds(6));
        world.run(Millis(500));
        const std::size_t begin = world.network.messages().size();
        world.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            if (message.number == begin + step)
                first.process->kill();
            const bool isTarget = message.operation == "set-target" && message.process == "a";
            fate.delay = isTarget ? Millis::seconds(40) : Millis(0);
            return fate;
        });
        REQUIRE(first.keeper->request(7, nullptr));
        world.run(Millis::seconds(6));
        Holder &second = world.add("b", 2, Millis::minutes(10));
        REQUIRE(world.insist(second, 3));
        world.run(Millis::minutes(2));
        CHECK(world.target() == 3);
        CHECK(second.keeper->isIdle());
    }
}

// The platform's answer is lost. Ordering "again" must not start twice as many upstreams.
TEST_CASE("a target whose answer was lost is read back and stays one target")
{
    World world;
    Holder &holder = world.add("a", 1, Millis::minutes(10));
    world.run(Millis(500));
    int lost = 0;
    world.network.setHook([&](const FakeMessage &message) {
        MessageFate fate;
        fate.lost = message.operation == "set-target" && ++lost <= 3;
        return fate;
    });
    REQUIRE(holder.keeper->request(5, nullptr));
    CHECK(!holder.keeper->request(9, nullptr));
    world.run(Millis::seconds(30));
    CHECK(world.target() == 5);
    CHECK(holder.keeper->isIdle());
    REQUIRE(holder.keeper->last());
    CHECK(holder.keeper->last()->isSettled);
}

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
    std::unique_ptr<FleetManager> manager;
};

class Simulation
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
        FleetManager::Hooks hooks{store.port(holder.process),
                                  fleet.port(holder.process),
                                  scheduler.clock(),
                                  scheduler.random(),
                                  ignoreEvents(),
                                  [this, &holder]() -> std::optional<Authority> {
                                      if (scheduler.now() >= holder.lease.notAfter)
                                          return std::nullopt;
                                      return holder.lease;
                                  }};
        holder.manager = std::make_unique<FleetManager>(zone, std::move(hooks));
        holder.manager->onLeaseAcquired();
        return holder;
    }

    void run(Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(50));
            for (auto &holder : holders) {
                if (holder->process->isRunning(scheduler.now()))
                    holder->manager->tick();
            }
        }
    }

    bool requestUntilAccepted(Holder &holder, std::uint32_t count)
    {
        for (int i = 0; i < 300; ++i) {
            if (holder.manager->request(count, nullptr))
                return true;
            run(Millis(100));
        }
        return false;
    }

    std::uint32_t target() { return fleet.status(zone.domain, zone.costClass).target.count; }
};

} // namespace

// The holder crashes at any message of a declaration, with the declaration itself delayed by 40 s.
// The next holder declares another number, which must be the platform's final target.
TEST_CASE("the target of the next holder is the final one")
{
    for (std::size_t step = 0; step < 8; ++step) {
        INFO("step " << step);
        Simulation simulation;
        Holder &first = simulation.add("a", 1, Millis::seconds(6));
        simulation.run(Millis(500));
        const std::size_t begin = simulation.network.messages().size();
        simulation.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            if (message.number == begin + step)
                first.process->kill();
            const bool isTarget = message.operation == "set-target" && message.process == "a";
            fate.delay = isTarget ? Millis::seconds(40) : Millis(0);
            return fate;
        });
        REQUIRE(first.manager->request(7, nullptr));
        simulation.run(Millis::seconds(6));
        Holder &second = simulation.add("b", 2, Millis::minutes(10));
        REQUIRE(simulation.requestUntilAccepted(second, 3));
        simulation.run(Millis::minutes(2));
        CHECK(simulation.target() == 3);
        CHECK(second.manager->isIdle());
    }
}

// The platform's reply is lost. Declaring the target again must not start twice as many
// upstreams.
TEST_CASE("a target whose reply was lost is read back and counts once")
{
    Simulation simulation;
    Holder &holder = simulation.add("a", 1, Millis::minutes(10));
    simulation.run(Millis(500));
    int lostReplies = 0;
    simulation.network.setHook([&](const FakeMessage &message) {
        MessageFate fate;
        fate.lost = message.operation == "set-target" && ++lostReplies <= 3;
        return fate;
    });
    REQUIRE(holder.manager->request(5, nullptr));
    CHECK(!holder.manager->request(9, nullptr));
    simulation.run(Millis::seconds(30));
    CHECK(simulation.target() == 5);
    CHECK(holder.manager->isIdle());
    REQUIRE(holder.manager->lastRecord());
    CHECK(holder.manager->lastRecord()->isSettled);
}

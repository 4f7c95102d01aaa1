#include "ports/testing/testing.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

struct World
{
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeProcessPtr process = std::make_shared<FakeProcess>("a");
    std::optional<StoreStatus> status;

    void put(std::optional<ObjectVersion> expected)
    {
        store.port(process).put({"x", "v", expected},
                                [this](const StoreReply &reply) { status = reply.status; });
    }
};

} // namespace

// The store's answer to a write is lost on the way. The writer must be told that it does not
// know, although the value is there.
TEST_CASE("a lost answer leaves the write in force and its writer in doubt")
{
    World world;
    world.network.setHook([](const FakeMessage &message) {
        MessageFate fate;
        fate.lost = message.leg == MessageLeg::Reply;
        return fate;
    });
    world.put(0);
    world.scheduler.runFor(Millis(2000));
    CHECK(world.status == StoreStatus::Unknown);
    CHECK(world.store.value("x") == "v");
}

TEST_CASE("conditions, outages, cuts and silence end as the port says")
{
    struct Row
    {
        const char *name;
        std::function<void(World &)> arrange;
        StoreStatus expected;
    };
    const std::vector<Row> rows = {
        {"well", [](World &) {}, StoreStatus::Ok},
        {"exists already", [](World &w) { w.store.write("x", "old"); }, StoreStatus::Conflict},
        {"down", [](World &w) { w.network.setDown("store", true); }, StoreStatus::Unavailable},
        {"cut", [](World &w) { w.network.setCut("a", "*", true); }, StoreStatus::Unknown},
        {"silent", [](World &w) { w.network.silence("a", "store"); }, StoreStatus::Unknown},
        {"slow", [](World &w) { w.network.setSlow("store", Millis(5000)); }, StoreStatus::Unknown},
    };
    for (const Row &row : rows) {
        INFO(row.name);
        World world;
        row.arrange(world);
        world.put(0);
        world.scheduler.runFor(Millis(2000));
        CHECK(world.status == row.expected);
    }
}

// A process is paused with a message on its way out. The message leaves when the process goes on,
// long after the moment at which the process decided to send it.
TEST_CASE("a paused process sends late, a killed one never")
{
    World world;
    world.process->pauseUntil(Millis(5000));
    world.put(0);
    world.scheduler.runFor(Millis(4000));
    CHECK(world.store.value("x").empty());
    world.scheduler.runFor(Millis(2000));
    CHECK(world.store.value("x") == "v");

    World other;
    other.process->kill();
    other.put(0);
    other.scheduler.runFor(Millis(9000));
    CHECK(other.store.value("x").empty());
    CHECK(!other.status);
}

TEST_CASE("a watch answers with what changed, and a lagging read shows the past")
{
    World world;
    std::vector<StoreObject> seen;
    world.store.port(world.process).watch("x", 0, Millis(5000), [&](const StoreReply &reply) {
        seen = reply.objects;
    });
    world.scheduler.runFor(Millis(100));
    world.store.write("x", "1");
    world.scheduler.runFor(Millis(100));
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].value == "1");

    world.store.setReadLag("a", Millis(10000));
    std::optional<StoreStatus> status;
    world.store.port(world.process).get("x", [&](const StoreReply &r) { status = r.status; });
    world.scheduler.runFor(Millis(100));
    CHECK(status == StoreStatus::NotFound);
}

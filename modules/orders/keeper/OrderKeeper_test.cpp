#include "orders/orders.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>

using namespace cuminrail;

namespace {

const UpstreamId engineId{"e1"};

/** One holder of the duty; its lease is set by the test. */
struct Holder
{
    FakeProcessPtr process;
    Authority lease;
    std::unique_ptr<OrderKeeper> keeper;
};

class World
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeEngines engines{network};
    std::vector<std::unique_ptr<Holder>> holders;
    std::optional<Millis> ticketDelay;
    std::vector<std::string> ticketOrder;

    explicit World(bool checksFence) { engines.add(engineId, checksFence); }

    Holder &add(const std::string &name, FenceNumber fence, Millis leaseFor)
    {
        holders.push_back(std::make_unique<Holder>());
        Holder &holder = *holders.back();
        holder.process = std::make_shared<FakeProcess>(name);
        holder.lease = Authority{fence, scheduler.now() + leaseFor};
        EngineOrderTrack::Hooks track{store.port(holder.process),
                                      engines.port(holder.process),
                                      scheduler.clock(),
                                      scheduler.random(),
                                      ignoreEvents(),
                                      [this, &holder]() -> std::optional<Authority> {
                                          if (scheduler.now() >= holder.lease.notAfter)
                                              return std::nullopt;
                                          return holder.lease;
                                      },
                                      {},
                                      name};
        OrderKeeper::WeightTicket ticket =
            [this](const WantedOrder &wanted,
                   const std::function<void(const std::optional<Millis> &)> &done) {
                ticketOrder.push_back(wanted.target);
                scheduler.after(Millis(10), [this, done] { done(ticketDelay); });
            };
        holder.keeper = std::make_unique<OrderKeeper>(
            OrderTiming{}, OrderKeeper::Hooks{std::move(track), std::move(ticket)});
        holder.keeper->setEngines({{engineId, engine().checksFence}});
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

    FakeEngine &engine() { return engines.engine(engineId); }

    bool order(Holder &holder, const std::string &role)
    {
        return holder.keeper->request({engineId, EngineOrderKind::ChangeRole, role, 0}, nullptr);
    }

    /** Repeats an order until it can be given, as a control loop does. */
    bool insist(Holder &holder, const std::string &role, Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            if (order(holder, role))
                return true;
            run(Millis(100));
        }
        return false;
    }

    /** Whether an order met another one in the engine, or an older came after a newer. */
    bool conflicted()
    {
        std::vector<std::string> seen;
        for (const ReceivedOrder &received : engine().received) {
            if (!received.accepted)
                continue;
            if (!received.interrupted.empty())
                return true;
            const std::string &id = received.order.orderId;
            const auto known = std::find(seen.begin(), seen.end(), id);
            if (known != seen.end() && known + 1 != seen.end())
                return true;
            if (known == seen.end())
                seen.push_back(id);
        }
        return false;
    }
};

constexpr Millis longLease = Millis::minutes(10);

} // namespace

TEST_CASE("an order is recorded, sent, carried out and settled")
{
    for (const bool checksFence : {false, true}) {
        World world(checksFence);
        Holder &holder = world.add("a", 1, longLease);
        REQUIRE(world.insist(holder, "decode", Millis::seconds(2)));
        CHECK(!world.order(holder, "prefill"));
        world.run(Millis::seconds(5));
        CHECK(world.engine().state.role == EngineRole::Decode);
        CHECK(world.engine().received.size() == 1);
        CHECK(holder.keeper->isIdle(engineId));
        const auto record =
            OrderRecord::fromText(engineId, world.store.value("orders/e1"), nullptr);
        REQUIRE(record);
        CHECK(record->phase == OrderPhase::Done);
    }
}

// The holder dies at any point of an order. Its successor wants something else; the engine must
// carry out one order after the other, never two at once or the older one last.
TEST_CASE("a successor settles what the former holder left before it orders anything else")
{
    for (const bool checksFence : {false, true}) {
        for (int step = 0; step < 12; ++step) {
            INFO("checks fence " << checksFence << " step " << step);
            World world(checksFence);
            Holder &first = world.add("a", 1, Millis::seconds(6));
            world.run(Millis(500));
            const std::size_t begin = world.network.messages().size();
            world.network.setHook([&](const FakeMessage &message) {
                if (message.number == begin + static_cast<std::size_t>(step))
                    first.process->kill();
                MessageFate fate;
                // What the dead holder had sent arrives as late as it can.
                const bool isOrder = message.operation == "order" && message.process == "a";
                fate.delay = isOrder ? Millis(4000) : Millis(0);
                return fate;
            });
            REQUIRE(world.order(first, "decode"));
            world.run(Millis::seconds(6));
            Holder &second = world.add("b", 2, longLease);
            REQUIRE(world.insist(second, "prefill", Millis::seconds(30)));
            world.run(Millis::seconds(10));
            CHECK(world.engine().state.role == EngineRole::Prefill);
            CHECK(!world.conflicted());
        }
    }
}

// The holder is paused between looking at its lease and writing the bytes, and goes on when
// another instance has long given the engine a different order.
TEST_CASE("an order that leaves after the lease has no effect")
{
    for (const bool checksFence : {false, true}) {
        INFO("checks fence " << checksFence);
        World world(checksFence);
        Holder &first = world.add("a", 1, Millis::seconds(6));
        world.run(Millis(500));
        world.network.setHook([&](const FakeMessage &message) {
            if (message.operation == "order" && message.process == "a")
                first.process->pauseUntil(Millis::seconds(60));
            return MessageFate{};
        });
        REQUIRE(world.order(first, "decode"));
        world.run(Millis::seconds(7));
        Holder &second = world.add("b", 2, longLease);
        REQUIRE(world.insist(second, "prefill", Millis::seconds(30)));
        world.run(Millis::seconds(80));
        CHECK(world.engine().state.role == EngineRole::Prefill);
        CHECK(!world.conflicted());
    }
}

// An engine crashes while it changes role and comes back with the old role, the new one or none.
// The order must be settled by what the engine is, and the next one must be possible.
TEST_CASE("a crash in the middle of a role change is settled by the engine's state")
{
    struct Row
    {
        CrashOutcome outcome;
        OrderPhase expected;
    };
    const std::vector<Row> rows = {{CrashOutcome::OldRole, OrderPhase::NoEffect},
                                   {CrashOutcome::NewRole, OrderPhase::Done},
                                   {CrashOutcome::NoRole, OrderPhase::NoEffect}};
    for (const Row &row : rows) {
        INFO(static_cast<int>(row.outcome));
        World world(false);
        Holder &holder = world.add("a", 1, longLease);
        REQUIRE(world.insist(holder, "decode", Millis::seconds(2)));
        world.run(Millis(1000));
        world.engines.crash(engineId, row.outcome);
        world.run(Millis::seconds(10));
        const auto record =
            OrderRecord::fromText(engineId, world.store.value("orders/e1"), nullptr);
        REQUIRE(record);
        CHECK(record->phase == row.expected);
        REQUIRE(world.insist(holder, "prefill", Millis::seconds(10)));
        world.run(Millis::seconds(5));
        CHECK(world.engine().state.role == EngineRole::Prefill);
    }
}

// The answer to an order is lost. Whether the engine has it is not known, so nothing else may be
// sent until its state has told.
TEST_CASE("an unknown result stays in doubt until the engine's state settles it")
{
    World world(false);
    Holder &holder = world.add("a", 1, longLease);
    world.engine().orderDuration = Millis::seconds(8);
    world.network.setHook([](const FakeMessage &message) {
        MessageFate fate;
        fate.lost = message.operation == "order" && message.leg == MessageLeg::Reply;
        return fate;
    });
    REQUIRE(world.insist(holder, "decode", Millis::seconds(2)));
    world.run(Millis::seconds(6));
    CHECK(holder.keeper->view().front().stage == EngineOrderTrack::Stage::InDoubt);
    CHECK(!world.order(holder, "prefill"));
    world.run(Millis::seconds(5));
    CHECK(holder.keeper->isIdle(engineId));
    CHECK(world.engine().state.role == EngineRole::Decode);
}

// Two instances both believe to be in charge for a moment. The record in the store lets only one
// of them add an order after the same predecessor.
TEST_CASE("of two who believe to be in charge only one is heard")
{
    World world(false);
    Holder &first = world.add("a", 1, longLease);
    Holder &second = world.add("b", 2, longLease);
    world.run(Millis(500));
    CHECK(world.order(first, "decode"));
    CHECK(world.order(second, "prefill"));
    world.run(Millis::seconds(20));
    CHECK(!world.conflicted());
    CHECK(world.engine().received.size() == 1);
}

// The weight store is rate limited. A model that no one waits for must not use the rate while the
// one that the present mix needs stands behind it.
TEST_CASE("loads share the weight store's rate, the urgent ones first")
{
    World world(false);
    world.engines.add(UpstreamId("e2"), false);
    Holder &holder = world.add("a", 1, longLease);
    holder.keeper->setEngines({{engineId, false}, {UpstreamId("e2"), false}});
    world.run(Millis(500));
    world.ticketDelay = Millis::seconds(3);
    CHECK(holder.keeper->request({engineId, EngineOrderKind::LoadModel, "rare@1", 1}, nullptr));
    CHECK(holder.keeper->request({UpstreamId("e2"), EngineOrderKind::LoadModel, "busy@2", 9},
                                 nullptr));
    world.run(Millis::seconds(2));
    CHECK(world.ticketOrder == std::vector<std::string>{"busy@2"});
    CHECK(world.engine().received.empty());
    world.ticketDelay.reset();
    world.run(Millis::seconds(10));
    CHECK(world.ticketOrder == std::vector<std::string>{"busy@2", "busy@2", "rare@1"});
    CHECK(world.engine().state.models == std::vector<std::string>{"rare@1"});
}

// Each guard is there for a way in which an engine gets conflicting orders. With it switched off
// the conflict must show.
TEST_CASE("without its guards an engine gets conflicting orders")
{
    struct Row
    {
        Guard guard;
        bool killsFirst;
    };
    const std::vector<Row> rows = {{Guard::SettleBeforeNext, true},
                                   {Guard::WaitForSendsInFlight, true},
                                   {Guard::RecordBeforeSend, true},
                                   {Guard::AuthorityCheckedAtWrite, false}};
    for (const Row &row : rows) {
        INFO(guardNames.name(row.guard));
        DisabledGuard disabled(row.guard);
        World world(false);
        Holder &first = world.add("a", 1, Millis::seconds(6));
        world.run(Millis(500));
        world.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            if (message.process != "a" || message.operation != "order")
                return fate;
            if (row.killsFirst)
                fate.delay = Millis(9000);
            else
                first.process->pauseUntil(Millis(16500));
            return fate;
        });
        REQUIRE(world.order(first, "decode"));
        world.run(Millis::seconds(6));
        Holder &second = world.add("b", 2, longLease);
        CHECK(world.insist(second, "prefill", Millis::seconds(30)));
        world.run(Millis::seconds(30));
        const bool olderCameLast = world.engine().state.role == EngineRole::Decode;
        CHECK((world.conflicted() || olderCameLast));
    }
}

#include "orders/orders.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>

using namespace cuminrail;

namespace {

const UpstreamId engineId{"e1"};

/** One holder of the duty; the test sets its lease. */
struct Holder
{
    FakeProcessPtr process;
    Authority lease;
    std::unique_ptr<OrderManager> manager;
};

class OrderTestBed
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeEngines engines{network};
    std::vector<std::unique_ptr<Holder>> holders;
    std::optional<Millis> ticketRetryAfter;
    std::vector<std::string> ticketOrder;

    explicit OrderTestBed(bool checksFence) { engines.add(engineId, checksFence); }

    Holder &add(const std::string &name, FenceNumber fence, Millis leaseLength)
    {
        holders.push_back(std::make_unique<Holder>());
        Holder &holder = *holders.back();
        holder.process = std::make_shared<FakeProcess>(name);
        holder.lease = Authority{fence, scheduler.now() + leaseLength};
        EngineOrderController::Hooks controller{store.port(holder.process),
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
        OrderManager::WeightTicket ticket =
            [this](const OrderRequest &wanted,
                   const std::function<void(const std::optional<Millis> &)> &done) {
                ticketOrder.push_back(wanted.target);
                scheduler.after(Millis(10), [this, done] { done(ticketRetryAfter); });
            };
        holder.manager = std::make_unique<OrderManager>(
            OrderTiming{}, OrderManager::Hooks{std::move(controller), std::move(ticket)});
        holder.manager->setEngines({{engineId, engine().checksFence}});
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

    FakeEngine &engine() { return engines.engine(engineId); }

    bool order(Holder &holder, const std::string &role)
    {
        return holder.manager->request({engineId, EngineOrderKind::ChangeRole, role, 0}, nullptr);
    }

    /** Retries an order until it is accepted, as a control loop does. */
    bool orderWithRetry(Holder &holder, const std::string &role, Millis span)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            if (order(holder, role))
                return true;
            run(Millis(100));
        }
        return false;
    }

    /**
        Whether an order interrupted another one in the engine, or an older one arrived after a
        newer one.
    */
    bool hasConflict()
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

// Guards against a second order that is accepted while the first one is unsettled, and an order
// that is sent twice.
TEST_CASE("an order is recorded, sent, executed and settled")
{
    for (const bool checksFence : {false, true}) {
        OrderTestBed bed(checksFence);
        Holder &holder = bed.add("a", 1, longLease);
        REQUIRE(bed.orderWithRetry(holder, "decode", Millis::seconds(2)));
        CHECK(!bed.order(holder, "prefill"));
        bed.run(Millis::seconds(5));
        CHECK(bed.engine().state.role == EngineRole::Decode);
        CHECK(bed.engine().received.size() == 1);
        CHECK(holder.manager->isIdle(engineId));
        const auto record = OrderRecord::fromText(engineId, bed.store.value("orders/e1"), nullptr);
        REQUIRE(record);
        CHECK(record->phase == OrderPhase::Done);
    }
}

// The holder dies at any point of an order. Its successor requests something else; the engine must
// execute one order after the other, never two at once or the older one last.
TEST_CASE("a successor settles the previous holder's order before it sends its own")
{
    for (const bool checksFence : {false, true}) {
        for (int step = 0; step < 12; ++step) {
            INFO("checks fence " << checksFence << " step " << step);
            OrderTestBed bed(checksFence);
            Holder &first = bed.add("a", 1, Millis::seconds(6));
            bed.run(Millis(500));
            const std::size_t begin = bed.network.messages().size();
            bed.network.setHook([&](const FakeMessage &message) {
                if (message.number == begin + static_cast<std::size_t>(step))
                    first.process->kill();
                MessageFate fate;
                // What the dead holder had sent arrives as late as possible.
                const bool isOrder = message.operation == "order" && message.process == "a";
                fate.delay = isOrder ? Millis(4000) : Millis(0);
                return fate;
            });
            REQUIRE(bed.order(first, "decode"));
            bed.run(Millis::seconds(6));
            Holder &second = bed.add("b", 2, longLease);
            REQUIRE(bed.orderWithRetry(second, "prefill", Millis::seconds(30)));
            bed.run(Millis::seconds(10));
            CHECK(bed.engine().state.role == EngineRole::Prefill);
            CHECK(!bed.hasConflict());
        }
    }
}

// The holder is paused between the check of its lease and the write to the socket, and continues
// long after another instance has given the engine a different order.
TEST_CASE("an order sent after the lease has expired has no effect")
{
    for (const bool checksFence : {false, true}) {
        INFO("checks fence " << checksFence);
        OrderTestBed bed(checksFence);
        Holder &first = bed.add("a", 1, Millis::seconds(6));
        bed.run(Millis(500));
        bed.network.setHook([&](const FakeMessage &message) {
            if (message.operation == "order" && message.process == "a")
                first.process->pauseUntil(Millis::seconds(60));
            return MessageFate{};
        });
        REQUIRE(bed.order(first, "decode"));
        bed.run(Millis::seconds(7));
        Holder &second = bed.add("b", 2, longLease);
        REQUIRE(bed.orderWithRetry(second, "prefill", Millis::seconds(30)));
        bed.run(Millis::seconds(80));
        CHECK(bed.engine().state.role == EngineRole::Prefill);
        CHECK(!bed.hasConflict());
    }
}

// An engine crashes during a role change and comes back with the old role, the new one or none. The
// state of the engine must settle the order, and the next one must be possible.
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
        OrderTestBed bed(false);
        Holder &holder = bed.add("a", 1, longLease);
        REQUIRE(bed.orderWithRetry(holder, "decode", Millis::seconds(2)));
        bed.run(Millis(1000));
        bed.engines.crash(engineId, row.outcome);
        bed.run(Millis::seconds(10));
        const auto record = OrderRecord::fromText(engineId, bed.store.value("orders/e1"), nullptr);
        REQUIRE(record);
        CHECK(record->phase == row.expected);
        REQUIRE(bed.orderWithRetry(holder, "prefill", Millis::seconds(10)));
        bed.run(Millis::seconds(5));
        CHECK(bed.engine().state.role == EngineRole::Prefill);
    }
}

// The reply to an order is lost. It is unknown whether the engine has received it, so nothing else
// may be sent until its state shows that.
TEST_CASE("an unknown result stays in doubt until the engine's state settles it")
{
    OrderTestBed bed(false);
    Holder &holder = bed.add("a", 1, longLease);
    bed.engine().orderDuration = Millis::seconds(8);
    bed.network.setHook([](const FakeMessage &message) {
        MessageFate fate;
        fate.lost = message.operation == "order" && message.leg == MessageLeg::Reply;
        return fate;
    });
    REQUIRE(bed.orderWithRetry(holder, "decode", Millis::seconds(2)));
    bed.run(Millis::seconds(6));
    CHECK(holder.manager->view().front().stage == EngineOrderController::Stage::InDoubt);
    CHECK(!bed.order(holder, "prefill"));
    bed.run(Millis::seconds(5));
    CHECK(holder.manager->isIdle(engineId));
    CHECK(bed.engine().state.role == EngineRole::Decode);
}

// Two instances both consider themselves the holder for a moment. The record in the store lets only
// one of them add an order after the same predecessor.
TEST_CASE("of two instances that both consider themselves the holder only one sends an order")
{
    OrderTestBed bed(false);
    Holder &first = bed.add("a", 1, longLease);
    Holder &second = bed.add("b", 2, longLease);
    bed.run(Millis(500));
    CHECK(bed.order(first, "decode"));
    CHECK(bed.order(second, "prefill"));
    bed.run(Millis::seconds(20));
    CHECK(!bed.hasConflict());
    CHECK(bed.engine().received.size() == 1);
}

// The weight store is rate limited. A model that no request needs must not use the rate while the
// one that the present traffic needs is queued behind it.
TEST_CASE("queued loads share the weight store's rate, the most urgent first")
{
    OrderTestBed bed(false);
    bed.engines.add(UpstreamId("e2"), false);
    Holder &holder = bed.add("a", 1, longLease);
    holder.manager->setEngines({{engineId, false}, {UpstreamId("e2"), false}});
    bed.run(Millis(500));
    bed.ticketRetryAfter = Millis::seconds(3);
    CHECK(holder.manager->request({engineId, EngineOrderKind::LoadModel, "rare@1", 1}, nullptr));
    CHECK(holder.manager->request({UpstreamId("e2"), EngineOrderKind::LoadModel, "busy@2", 9},
                                  nullptr));
    bed.run(Millis::seconds(2));
    CHECK(bed.ticketOrder == std::vector<std::string>{"busy@2"});
    CHECK(bed.engine().received.empty());
    bed.ticketRetryAfter.reset();
    bed.run(Millis::seconds(10));
    CHECK(bed.ticketOrder == std::vector<std::string>{"busy@2", "busy@2", "rare@1"});
    CHECK(bed.engine().state.models == std::vector<std::string>{"rare@1"});
}

// Each guard prevents one way in which an engine receives conflicting orders. With the guard
// disabled the conflict must occur.
TEST_CASE("without the guards an engine receives conflicting orders")
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
        OrderTestBed bed(false);
        Holder &first = bed.add("a", 1, Millis::seconds(6));
        bed.run(Millis(500));
        bed.network.setHook([&](const FakeMessage &message) {
            MessageFate fate;
            if (message.process != "a" || message.operation != "order")
                return fate;
            if (row.killsFirst)
                fate.delay = Millis(9000);
            else
                first.process->pauseUntil(Millis(16500));
            return fate;
        });
        REQUIRE(bed.order(first, "decode"));
        bed.run(Millis::seconds(6));
        Holder &second = bed.add("b", 2, longLease);
        CHECK(bed.orderWithRetry(second, "prefill", Millis::seconds(30)));
        bed.run(Millis::seconds(30));
        const bool olderArrivedLast = bed.engine().state.role == EngineRole::Decode;
        CHECK((bed.hasConflict() || olderArrivedLast));
    }
}

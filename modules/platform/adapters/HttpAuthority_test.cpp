#include "core/guards/Guards.h"
#include "platform/client/ControlLoop.h"
#include "platform/platform.h"
#include "runtime/time/BootClock.h"
#include "standin/standin.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using standin::EngineOptions;
using standin::PlatformOptions;
using standin::StandinEngine;
using standin::StandinHost;
using standin::StandinPlatform;

namespace {

EngineOrder makeOrder(const std::string &id, FenceNumber fence, Millis notAfter)
{
    EngineOrder order;
    order.engine = UpstreamId("e1");
    order.orderId = id;
    order.fence = fence;
    order.kind = EngineOrderKind::ChangeRole;
    order.target = "prefill";
    order.notAfter = notAfter;
    return order;
}

Millis inTime()
{
    return bootTime() + Millis::minutes(1);
}

/** Orders to one real engine, waited for. */
class EngineSession
{
public:
    explicit EngineSession(const EngineOptions &options)
        : engine(options), loop_("instance-a"),
          control_(makeHttpEngineControl(loop_.client(), [this](const UpstreamId &id) {
              return id.text() == "e1" ? std::optional<std::string>(engine.address())
                                       : std::nullopt;
          }))
    { }

    OrderReply send(const EngineOrder &order)
    {
        return loop_.await<OrderReply>(
            [&](std::function<void(const OrderReply &)> done) { control_.send(order, done); });
    }
    std::optional<EngineState> state(const std::string &id = "e1")
    {
        return loop_.await<std::optional<EngineState>>(
            [&](std::function<void(const std::optional<EngineState> &)> done) {
                control_.readState(UpstreamId(id), done);
            });
    }

    StandinHost<StandinEngine> engine;

private:
    ControlLoop loop_;
    EngineControl control_;
};

} // namespace

TEST_CASE("an engine's state and orders go over the wire whole")
{
    EngineOptions options;
    options.checksFence = true;
    options.roleChangeMs = 60000;
    EngineSession session(options);
    const auto before = session.state();
    REQUIRE(before);
    CHECK(before->role == EngineRole::Mixed);
    CHECK(before->models == options.models);
    CHECK(session.send(makeOrder("one", 7, inTime())).status == OrderStatus::Accepted);
    const auto during = session.state();
    REQUIRE(during);
    CHECK(during->currentOrderId == "one");
    CHECK(during->highestFence == 7);
    CHECK(during->role == EngineRole::None);
    CHECK(session.send(makeOrder("two", 6, inTime())).status == OrderStatus::Refused);
    CHECK_FALSE(session.state("e9"));
    EngineOrder stray = makeOrder("three", 8, inTime());
    stray.engine = UpstreamId("e9");
    CHECK(session.send(stray).status == OrderStatus::NotSent);
}

TEST_CASE("an order whose authority has ended never reaches the engine")
{
    // The holder of a lease is paused after it decided on an order and before it wrote it. When it
    // wakes, another holder gives orders. On an engine that checks no fence the late order would
    // undo the successor's.
    EngineSession session(EngineOptions{});
    CHECK(session.send(makeOrder("late", 1, bootTime())).status == OrderStatus::NotSent);
    CHECK(session.engine.records().empty());
    const DisabledGuard off(Guard::AuthorityCheckedAtWrite);
    CHECK(session.send(makeOrder("late", 1, bootTime())).status == OrderStatus::Accepted);
}

TEST_CASE("an order that gets no answer stays in doubt, and each has its own connection")
{
    // The engine takes the order and its answer is lost, or it falls silent. The sender must not
    // believe that nothing happened.
    for (const char *fault : {"lose-answer", "stall", "reset", "silent", "down"}) {
        CAPTURE(fault);
        EngineOptions options;
        options.roleChangeMs = 60000;
        EngineSession session(options);
        REQUIRE(session.engine.setFaults(R"({"rules":[{"method":"POST","fault":")"
                                         + std::string(fault) + "\"}]}"));
        CHECK(session.send(makeOrder("one", 1, inTime())).status == OrderStatus::Unknown);
        REQUIRE(session.engine.setFaults("{}"));
        CHECK(session.send(makeOrder("two", 1, inTime())).status == OrderStatus::Accepted);
        const auto records = session.engine.records();
        REQUIRE(records.size() == 2);
        CHECK(records[0].connection != records[1].connection);
        CHECK(records[1].header("connection") == "close");
    }
}

TEST_CASE("a call under authority ends with the authority, not with its patience")
{
    // The engine is silent. The holder's lease ends before its patience does; a connection that
    // lived on could still bring the order to the engine after a successor has settled it.
    EngineSession session(EngineOptions{});
    REQUIRE(session.engine.setFaults(R"({"rules":[{"method":"POST","fault":"stall"}]})"));
    const OrderReply reply = session.send(makeOrder("one", 1, bootTime() + Millis(60)));
    CHECK(reply.status == OrderStatus::Unknown);
    CHECK(reply.lastReason.where == "authority");
}

TEST_CASE("fleet targets, the list, usage reports and tickets go over the wire")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{1000, true});
    ControlLoop loop("instance-a");
    const FleetOrdering fleet = makeHttpFleetOrdering(loop.client(), platform.address());
    const UsageReceiver usage = makeHttpUsageReceiver(loop.client(), platform.address());
    const WeightStore weights = makeHttpWeightStore(loop.client(), platform.address());
    const auto setTarget = [&](const FleetTarget &target) {
        return loop
            .await<OrderReply>([&](std::function<void(const OrderReply &)> done) {
                fleet.setTarget(target, done);
            })
            .status;
    };
    const FailureDomainId domain("east");
    CHECK(setTarget({domain, CostClass::Regular, 3, 2, "t1", inTime()}) == OrderStatus::Accepted);
    CHECK(setTarget({domain, CostClass::Regular, 4, 1, "t2", inTime()}) == OrderStatus::Refused);
    CHECK(setTarget({domain, CostClass::Regular, 4, 3, "t3", bootTime()}) == OrderStatus::NotSent);
    const auto status = loop.await<std::optional<FleetStatus>>(
        [&](std::function<void(const std::optional<FleetStatus> &)> done) {
            fleet.readTarget(domain, CostClass::Regular, done);
        });
    REQUIRE(status);
    CHECK(status->target.count == 3);
    CHECK(status->target.clientToken == "t1");
    CHECK(status->running == 3);

    const auto report = [&](const std::string &figures) {
        return loop
            .await<OrderReply>([&](std::function<void(const OrderReply &)> done) {
                usage.report({"north/1", figures, 1, inTime()}, done);
            })
            .status;
    };
    CHECK(report("10") == OrderStatus::Accepted);
    CHECK(report("11") == OrderStatus::Refused);

    const auto ticket = [&] {
        return loop.await<TicketReply>([&](std::function<void(const TicketReply &)> done) {
            weights.requestTicket("m@1", 900, done);
        });
    };
    CHECK(ticket().status == TicketStatus::Granted);
    const TicketReply second = ticket();
    CHECK(second.status == TicketStatus::Later);
    CHECK(second.retryAfter > Millis(0));
}

TEST_CASE("the platform's list is read, and a broken one is none")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    ControlLoop loop("instance-a");
    const FleetOrdering fleet = makeHttpFleetOrdering(loop.client(), platform.address());
    const auto list = [&] {
        return loop.await<std::optional<std::vector<ListedInstance>>>(
            [&](std::function<void(const std::optional<std::vector<ListedInstance>> &)> done) {
                fleet.listInstances(done);
            });
    };
    REQUIRE(list());
    CHECK(list()->empty());
    const auto setList = [&](const std::string &entry) {
        standin::callOnce(platform.port(),
                          {"PUT", "/standin/instances", R"({"instances":[)" + entry + "]}"});
        standin::callOnce(platform.port(), {"GET", "/standin/health"});
    };
    setList(R"({"name":"i1","address":"10.0.0.1:7","domain":"east","leaving":true,"is_own":true})");
    while (list() && list()->empty()) { }
    REQUIRE(list());
    CHECK(list()->front().name == "i1");
    CHECK(list()->front().leaving);
    CHECK(list()->front().isOwn);
    setList(R"({"name":"i1"})");
    while (list()) { }
    CHECK_FALSE(list());
}

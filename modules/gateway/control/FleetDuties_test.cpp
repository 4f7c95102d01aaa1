#include <doctest/doctest.h>

#include "gateway/control/PeerConfiguration.h"
#include "gateway/control/ScaleDuty.h"
#include "gateway/control/StageDuty.h"
#include "runtime/threads/IoThread.h"

using namespace cuminrail;

namespace {

/** A context whose wire records orders, on a clock that the test sets. */
struct DutyBench
{
    DutyBench() : deadlines(io, Clock([this] { return now; }))
    {
        wire.orderUpstreams = [this](const ScaleTarget &target, const DutyAuthority &,
                                     const DutyCompletion &done) {
            scaleOrders.push_back(target);
            done(scaleResult, {});
        };
        wire.readEngine = [this](const UpstreamEntry &, const auto &done) { done(report); };
        wire.orderStage = [this](const UpstreamEntry &engine, EngineStage to,
                                 std::uint64_t accepted, const DutyAuthority &,
                                 const DutyCompletion &done) {
            stageOrders.push_back({engine.id, to});
            CHECK(accepted == report->ordersAccepted);
            done(stageResult, {});
        };
        context.events = ignoreEvents();
        Configuration configuration;
        configuration.version = 1;
        Service service;
        service.name = "s";
        service.engine = EngineTraits{};
        service.scale = ScaleBounds{1, 6, Millis(4000)};
        configuration.services = {service};
        context.index = std::make_shared<const RouteIndex>(std::move(configuration));
    }

    void list(const std::string &id, EngineStage stage, bool isReclaimable = false)
    {
        UpstreamEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = "10.0.0.1:1";
        entry.failureDomain = "a";
        entry.startedAt = 1;
        entry.stage = stage;
        entry.isReclaimable = isReclaimable;
        context.directory.update(entry, now);
    }

    std::function<std::optional<DutyAuthority>()> authority()
    {
        return [this]() -> std::optional<DutyAuthority> {
            if (!isHolder)
                return std::nullopt;
            return DutyAuthority{"i-1", 1, now + Millis(3000)};
        };
    }

    boost::asio::io_context io;
    Millis now;
    DeadlineList deadlines;
    UpstreamPool pool{io, deadlines};
    InstanceSettings settings;
    GatewayWire wire;
    RelayContext context{wire, deadlines, pool, settings};
    bool isHolder = true;
    DutyResult scaleResult = DutyResult::Accepted;
    DutyResult stageResult = DutyResult::Accepted;
    std::optional<EngineReportBrief> report = EngineReportBrief{EngineStage::Decode, false, 4};
    std::vector<ScaleTarget> scaleOrders;
    std::vector<std::pair<std::string, EngineStage>> stageOrders;
};

} // namespace

TEST_CASE("wanted numbers are ordered once, and again only when the fleet does not follow")
{
    DutyBench bench;
    ScaleDuty duty(bench.context, bench.authority());
    for (const char *id : {"r-1", "r-2", "r-3"})
        bench.list(id, EngineStage::Decode);
    const auto run = [&](Millis span) {
        for (const Millis end = bench.now + span; bench.now < end; bench.now += Millis(100))
            duty.tick(false);
    };
    run(Millis(1400));
    CHECK(bench.scaleOrders.empty());
    run(Millis(1000));
    REQUIRE(bench.scaleOrders.size() == 1);
    CHECK(bench.scaleOrders[0].wanted == 3);
    CHECK(bench.scaleOrders[0].isReclaimable);
    run(Millis(5000));
    CHECK(bench.scaleOrders.size() == 1);
    run(Millis(3000));
    CHECK(bench.scaleOrders.size() == 2);
    for (const char *id : {"c-1", "c-2", "c-3"})
        bench.list(id, EngineStage::Decode, true);
    run(Millis(300));
    REQUIRE(bench.scaleOrders.size() == 3);
    CHECK_FALSE(bench.scaleOrders[2].isReclaimable);
    CHECK(bench.scaleOrders[2].wanted == 1);
}

// The platform has no upstreams to give at the moment. Asked in every tick it would be flooded;
// never asked again, the domain would stay without.
TEST_CASE("refused orders are given again at intervals")
{
    DutyBench bench;
    ScaleDuty duty(bench.context, bench.authority());
    bench.list("r-1", EngineStage::Decode);
    bench.scaleResult = DutyResult::Refused;
    for (; bench.now < Millis(10000); bench.now += Millis(100))
        duty.tick(false);
    CHECK(bench.scaleOrders.size() >= 5);
    CHECK(bench.scaleOrders.size() <= 14);
}

// The lease was lost, or the store is out: another instance may be in charge by now.
TEST_CASE("without authority nothing is ordered")
{
    DutyBench bench;
    ScaleDuty scale(bench.context, bench.authority());
    StageDuty stages(bench.context, bench.authority());
    for (const char *id : {"r-1", "r-2", "r-3"})
        bench.list(id, EngineStage::Decode);
    bench.isHolder = false;
    for (; bench.now < Millis(20000); bench.now += Millis(100)) {
        scale.tick(true);
        stages.tick();
    }
    CHECK(bench.scaleOrders.empty());
    CHECK(bench.stageOrders.empty());
}

// An order got no answer. It may still be carried out; a different one in between would contradict.
TEST_CASE("an engine with an order in doubt gets no other one until its time is over")
{
    struct Row
    {
        DutyResult result;
        std::size_t orders;
    };
    for (const Row &row : {Row{DutyResult::Unknown, 1}, Row{DutyResult::Accepted, 1}}) {
        DutyBench bench;
        StageDuty duty(bench.context, bench.authority());
        for (const char *id : {"e-1", "e-2"})
            bench.list(id, EngineStage::Decode);
        bench.stageResult = row.result;
        for (; bench.now < Millis(8000); bench.now += Millis(100))
            duty.tick();
        CHECK(bench.stageOrders.size() == row.orders);
    }
}

TEST_CASE("engines that are busy, silent, or changed already are not ordered")
{
    for (const auto &report :
         {std::optional<EngineReportBrief>(),
          std::make_optional(EngineReportBrief{EngineStage::Decode, true, 4}),
          std::make_optional(EngineReportBrief{EngineStage::Prefill, false, 4})}) {
        DutyBench bench;
        StageDuty duty(bench.context, bench.authority());
        for (const char *id : {"e-1", "e-2", "e-3"})
            bench.list(id, EngineStage::Decode);
        bench.report = report;
        for (; bench.now < Millis(10000); bench.now += Millis(100))
            duty.tick();
        CHECK(bench.stageOrders.empty());
    }
}

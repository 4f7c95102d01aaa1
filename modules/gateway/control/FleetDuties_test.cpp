#include <doctest/doctest.h>

#include "gateway/control/PeerConfigurationFetcher.h"
#include "gateway/control/ScaleDuty.h"
#include "gateway/control/StageDuty.h"
#include "runtime/threads/IoThread.h"

using namespace cuminrail;

namespace {

/** A context whose protocol hooks record orders, on a clock that the test sets. */
struct DutyFixture
{
    DutyFixture() : deadlines(io, Clock([this] { return now; }))
    {
        wire.orderUpstreams = [this](const ScaleTarget &target, const DutyAuthority &,
                                     const DutyCompletion &done) {
            scaleOrders.push_back(target);
            done(scaleResult, {});
        };
        wire.fetchEngineReport = [this](const UpstreamEntry &, const auto &done) {
            done({report, reportTraits});
        };
        wire.orderStage = [this](const UpstreamEntry &engine, EngineStage to,
                                 std::uint64_t accepted, const DutyAuthority &,
                                 const EngineOrderCompletion &done) {
            stageOrders.push_back({engine.id, to});
            CHECK(accepted == report->ordersAccepted);
            done(stageResult, {}, orderTraits);
        };
        const Clock clock([this] { return now; });
        context.limits = std::make_unique<LimitExchange>(QuotaTolerance(), PeerTransport(), clock,
                                                         seededRandom(1));
        context.departures =
            std::make_unique<DepartureExchange>(PeerTransport(), clock, seededRandom(1));
        context.departures->onDeparture = [this](UpstreamIncarnation upstream, DepartureSource) {
            context.directory.markLeaving(upstream, now);
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

    void addEngine(const std::string &id, EngineStage stage, bool isReclaimable = false)
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
    GatewayProtocol wire;
    RelayContext context{wire, deadlines, pool, settings};
    bool isHolder = true;
    DutyResult scaleResult = DutyResult::Accepted;
    DutyResult stageResult = DutyResult::Accepted;
    std::optional<EngineReportSummary> report = EngineReportSummary{EngineStage::Decode, false, 4};
    ResponseTraits reportTraits;
    ResponseTraits orderTraits;
    std::vector<ScaleTarget> scaleOrders;
    std::vector<std::pair<std::string, EngineStage>> stageOrders;
};

} // namespace

// Orders sent in every tick would flood the platform; an order that had no effect must be sent
// again.
TEST_CASE("wanted numbers are ordered once, and again only when the fleet does not follow")
{
    DutyFixture fixture;
    ScaleDuty duty(fixture.context, fixture.authority());
    for (const char *id : {"r-1", "r-2", "r-3"})
        fixture.addEngine(id, EngineStage::Decode);
    const auto run = [&](Millis span) {
        for (const Millis end = fixture.now + span; fixture.now < end; fixture.now += Millis(100))
            duty.tick(false);
    };
    run(Millis(1400));
    CHECK(fixture.scaleOrders.empty());
    run(Millis(1000));
    REQUIRE(fixture.scaleOrders.size() == 1);
    CHECK(fixture.scaleOrders[0].wanted == 3);
    CHECK(fixture.scaleOrders[0].isReclaimable);
    run(Millis(5000));
    CHECK(fixture.scaleOrders.size() == 1);
    run(Millis(3000));
    CHECK(fixture.scaleOrders.size() == 2);
    for (const char *id : {"c-1", "c-2", "c-3"})
        fixture.addEngine(id, EngineStage::Decode, true);
    run(Millis(300));
    REQUIRE(fixture.scaleOrders.size() == 3);
    CHECK_FALSE(fixture.scaleOrders[2].isReclaimable);
    CHECK(fixture.scaleOrders[2].wanted == 1);
}

// The platform has no capacity at the moment. Retried in every tick, orders would flood it; never
// retried, the failure domain would stay without upstreams.
TEST_CASE("refused orders are retried at intervals")
{
    DutyFixture fixture;
    ScaleDuty duty(fixture.context, fixture.authority());
    fixture.addEngine("r-1", EngineStage::Decode);
    fixture.scaleResult = DutyResult::Refused;
    for (; fixture.now < Millis(10000); fixture.now += Millis(100))
        duty.tick(false);
    CHECK(fixture.scaleOrders.size() >= 5);
    CHECK(fixture.scaleOrders.size() <= 14);
}

// The lease was lost or the store is down, so another instance may hold the duty by now; both would
// send contradicting orders.
TEST_CASE("without the lease nothing is ordered")
{
    DutyFixture fixture;
    ScaleDuty scale(fixture.context, fixture.authority());
    StageDuty stages(fixture.context, fixture.authority());
    for (const char *id : {"r-1", "r-2", "r-3"})
        fixture.addEngine(id, EngineStage::Decode);
    fixture.isHolder = false;
    for (; fixture.now < Millis(20000); fixture.now += Millis(100)) {
        scale.tick(true);
        stages.tick();
    }
    CHECK(fixture.scaleOrders.empty());
    CHECK(fixture.stageOrders.empty());
}

// An order without a response may still be executed; another order before it expires could
// contradict it.
TEST_CASE("an engine with an order in doubt gets no other order until it expires")
{
    struct Row
    {
        DutyResult result;
        std::size_t orders;
    };
    for (const Row &row : {Row{DutyResult::Unknown, 1}, Row{DutyResult::Accepted, 1}}) {
        DutyFixture fixture;
        StageDuty duty(fixture.context, fixture.authority());
        for (const char *id : {"e-1", "e-2"})
            fixture.addEngine(id, EngineStage::Decode);
        fixture.stageResult = row.result;
        for (; fixture.now < Millis(8000); fixture.now += Millis(100))
            duty.tick();
        CHECK(fixture.stageOrders.size() == row.orders);
    }
}

// The engine's state is read just before an order. If it does not respond, executes another order
// or has the stage already, an order could contradict a pending one.
TEST_CASE("engines that are busy, silent or already changed are not ordered")
{
    for (const auto &report :
         {std::optional<EngineReportSummary>(),
          std::make_optional(EngineReportSummary{EngineStage::Decode, true, 4}),
          std::make_optional(EngineReportSummary{EngineStage::Prefill, false, 4})}) {
        DutyFixture fixture;
        StageDuty duty(fixture.context, fixture.authority());
        for (const char *id : {"e-1", "e-2", "e-3"})
            fixture.addEngine(id, EngineStage::Decode);
        fixture.report = report;
        for (; fixture.now < Millis(10000); fixture.now += Millis(100))
            duty.tick();
        CHECK(fixture.stageOrders.empty());
    }
}

// What an engine states must count also where the response is to the instance itself.
TEST_CASE("an engine that states it leaves in a response to a report or an order gets no requests")
{
    for (const bool isInReport : {true, false}) {
        CAPTURE(isInReport);
        DutyFixture fixture;
        (isInReport ? fixture.reportTraits : fixture.orderTraits).isLeaving = true;
        StageDuty duty(fixture.context, fixture.authority());
        for (const char *id : {"d-1", "d-2", "d-3", "d-4"})
            fixture.addEngine(id, EngineStage::Decode);
        for (const Millis end = fixture.now + Millis(4000); fixture.now < end;
             fixture.now += Millis(100))
            duty.tick();
        std::size_t leaving = 0;
        for (const auto &[id, record] : fixture.context.directory.all())
            leaving += record->isLeaving ? 1 : 0;
        CHECK(leaving > 0);
        CHECK(fixture.stageOrders.empty() == isInReport);
    }
}

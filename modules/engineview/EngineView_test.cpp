#include "engineview/engineview.h"
#include "engineview/measure/ViewCluster.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cuminrail;

namespace {

ViewCluster::Size sizeOf(std::size_t instances, std::size_t engines, std::uint64_t loss = 0)
{
    ViewCluster::Size size;
    size.instances = instances;
    size.engines = engines;
    size.lossPercent = loss;
    return size;
}

constexpr Millis twoPeriods = Millis::seconds(9);

} // namespace

TEST_CASE("every instance receives the facts of every engine, each polled by one instance")
{
    ViewCluster cluster(sizeOf(24, 60));
    std::size_t polled = 0;
    for (std::size_t instance = 0; instance < 24; ++instance)
        polled += cluster.view(instance).polledCount();
    CHECK(polled == 60);
    cluster.runFor(Millis::seconds(30));
    for (std::size_t engine = 0; engine < 60; ++engine)
        CHECK(cluster.countInformed(engine) == 24);
}

// An engine changes its role, and instances that do not know this yet send it prompts that it
// rejects: callers receive errors until the last instance is informed.
TEST_CASE("all instances know a new role within little more than two polling periods")
{
    ViewCluster cluster(sizeOf(24, 60, 5));
    cluster.runFor(Millis::seconds(30));
    cluster.engineState(7).role = EngineRole::Decode;
    CHECK(cluster.countInformed(7) == 0);
    cluster.runFor(twoPeriods);
    CHECK(cluster.countInformed(7) == 24);
}

// With each hop a report appears a few milliseconds more recent. If that counted as a new sample,
// reports would circulate endlessly and saturate the network between instances.
TEST_CASE("each instance forwards a sample once, without circulation")
{
    constexpr std::size_t instances = 24;
    constexpr std::size_t engines = 120;
    ViewCluster cluster(sizeOf(instances, engines));
    cluster.runFor(Millis::seconds(30));
    cluster.resetTraffic();
    cluster.runFor(Millis::seconds(60));
    const EngineView::Config config;
    constexpr std::size_t bytesOfReport = 14;
    const double samples = 60.0 / config.pollPeriod.toSeconds() * 1.1;
    const double frames = static_cast<double>(cluster.traffic().frames) * 16;
    const double maxBytes = samples * engines * instances * config.fanOut * bytesOfReport + frames;
    CHECK(static_cast<double>(cluster.traffic().bytes) < maxBytes);
    CHECK(static_cast<double>(cluster.traffic().bytes) > maxBytes / 3);
}

// The instance that polls an engine crashes. Unless another one takes over, no instance receives
// the engine's load any more and routing uses an ever older report.
TEST_CASE("other instances poll the engines of a crashed poller")
{
    ViewCluster cluster(sizeOf(12, 40));
    cluster.runFor(Millis::seconds(20));
    std::size_t busiest = 0;
    for (std::size_t instance = 0; instance < 12; ++instance) {
        if (cluster.view(instance).polledCount() > cluster.view(busiest).polledCount())
            busiest = instance;
    }
    REQUIRE(cluster.view(busiest).polledCount() > 0);
    cluster.kill(busiest);
    // Every report was then sampled after the crash. A single sample does not reach all instances,
    // so the duration covers several.
    const Millis timeSinceCrash = Millis::seconds(20);
    cluster.runFor(timeSinceCrash);
    CHECK(cluster.oldestReport() < timeSinceCrash);
}

// A delayed frame delivers an engine's previous role after the new one is known.
TEST_CASE("an older sample or older facts never replace newer ones")
{
    ReportTable table;
    const UpstreamId engine("e1");
    table.setEngines({engine});
    EngineState prefill;
    prefill.engine = engine;
    prefill.role = EngineRole::Prefill;
    EngineState decode = prefill;
    decode.role = EngineRole::Decode;
    const auto report = [&](const EngineState &state, std::int64_t at) {
        return EngineReport{engineKey(engine), factsHash(state), 0, 0, Millis(at)};
    };
    REQUIRE(table.merge(report(decode, 2000)) == ReportMergeResult::NewSample);
    REQUIRE(table.mergeFacts(decode));
    CHECK(table.merge(report(prefill, 1000)) == ReportMergeResult::Unchanged);
    CHECK_FALSE(table.mergeFacts(prefill));
    CHECK(table.facts(engineKey(engine))->role == EngineRole::Decode);

    REQUIRE(table.merge(report(prefill, 3000)) == ReportMergeResult::FactsChanged);
    CHECK(table.unknownFacts() == std::vector<EngineKey>{engineKey(engine)});
    REQUIRE(table.mergeFacts(prefill));
    CHECK(table.unknownFacts().empty());
}

TEST_CASE("reports of engines that are not in the settings are ignored")
{
    ReportTable table;
    table.setEngines({UpstreamId("e1")});
    CHECK(table.merge({engineKey(UpstreamId("e2")), 1, 0, 0, Millis(1)})
          == ReportMergeResult::Unchanged);
    CHECK(table.reports().empty());
}

TEST_CASE("messages survive encoding and decoding, with sample times sent as ages")
{
    const Millis sent{100000};
    const Millis received{5000000};
    ReportMessage message;
    message.reports.push_back({7, 8, 9, 10, sent - Millis(1230)});
    const auto read = decodeReportMessage(encodeReportMessage(message, sent), received);
    REQUIRE(read.has_value());
    REQUIRE(read->reports.size() == 1);
    CHECK(read->reports[0].engine == 7);
    CHECK(read->reports[0].facts == 8);
    CHECK(read->reports[0].running == 9);
    CHECK(read->reports[0].waiting == 10);
    CHECK(read->reports[0].sampledAt == received - Millis(1230));

    ReportMessage facts;
    facts.kind = ReportMessageKind::Facts;
    EngineState state;
    state.engine = UpstreamId("e1");
    state.incarnation = 3;
    state.role = EngineRole::Prefill;
    state.models = {"m@1", "n@2"};
    state.adapters = {"a"};
    facts.facts.push_back(state);
    const auto readFacts = decodeReportMessage(encodeReportMessage(facts, sent), received);
    REQUIRE(readFacts.has_value());
    REQUIRE(readFacts->facts.size() == 1);
    CHECK(factsHash(readFacts->facts[0]) == factsHash(state));
}

// A frame is truncated or altered in transit, or a program with the shared secret sends garbage.
// The control thread must neither crash nor accept it.
TEST_CASE("a truncated or altered frame is rejected or has no effect")
{
    ReportMessage message;
    message.reports.push_back({7, 8, 9, 10, Millis(0)});
    const std::string good = encodeReportMessage(message, Millis(0));
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeReportMessage(good.substr(0, length), Millis(0)).has_value());

    ReportTable table;
    table.setEngines({UpstreamId("e1")});
    for (std::size_t index = 0; index < good.size(); ++index) {
        std::string altered = good;
        altered[index] = static_cast<char>(altered[index] ^ 0x5a);
        const auto read = decodeReportMessage(altered, Millis(0));
        for (const EngineReport &report : read ? read->reports : std::vector<EngineReport>())
            table.merge(report);
    }
    CHECK(table.reports().empty());
}

TEST_CASE("engines are polled by members of their own failure domain if there are any")
{
    std::vector<MemberRecord> members(4);
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].id = InstanceId("i" + std::to_string(index));
        members[index].domain = FailureDomainId(index < 2 ? "near" : "far");
    }
    for (int engine = 0; engine < 50; ++engine) {
        const UpstreamId id("e" + std::to_string(engine));
        const InstanceId poller = pollerOf(id, FailureDomainId("near"), members);
        CHECK((poller == members[0].id || poller == members[1].id));
        std::reverse(members.begin(), members.end());
        CHECK(pollerOf(id, FailureDomainId("near"), members) == poller);
        std::reverse(members.begin(), members.end());
        CHECK_FALSE(pollerOf(id, FailureDomainId("gone"), members).isEmpty());
    }
    CHECK(pollerOf(UpstreamId("e"), FailureDomainId("near"), {}).isEmpty());
}

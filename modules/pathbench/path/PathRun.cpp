#include "pathbench/path/PathRun.h"

#include "pathbench/load/LoadClient.h"
#include "pathbench/path/ThreadTimes.h"
#include "pathbench/setup/BenchInstance.h"
#include "standin/standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail::pathbench {

namespace {

using standin::EngineOptions;
using standin::StandinEngine;
using standin::StandinHost;

constexpr std::uint32_t manyConnections = 256;
/** One connection is measured request by request in turns, many in turns of batches. */
constexpr std::uint32_t batches = 8;

std::string wireOf(bool isStreamed, std::uint32_t outputTokens, bool isDirect)
{
    const nlohmann::json body = {
        {"model", "bench"},
        {"prompt", "The registry closes at noon; which exhibits are still missing?"},
        {"max_tokens", outputTokens},
        {"stream", isStreamed},
    };
    const std::string text = body.dump();
    std::string wire = "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n";
    // An engine gets these from the instance; the direct caller sends them itself.
    wire += isDirect ? "X-Request-Id: bench\r\nX-Customer: bench\r\nX-Priority: standard\r\n"
                     : "Authorization: Bearer " + std::string(benchKey) + "\r\n";
    wire += "Content-Type: application/json\r\nContent-Length: " + std::to_string(text.size());
    return wire + "\r\n\r\n" + text;
}

/** One way to the engine, and what was measured on it so far. */
class Way
{
public:
    Way(std::uint16_t port, std::uint32_t connections, std::string wire)
        : client_(port, connections), wire_(std::move(wire))
    { }

    void send(std::uint32_t requests)
    {
        LoadResult result = client_.run(wire_, requests);
        latencies_.insert(latencies_.end(), result.latencies.begin(), result.latencies.end());
        failures_ += result.failures;
        seconds_ += result.seconds;
    }
    void forget()
    {
        latencies_.clear();
        failures_ = 0;
        seconds_ = 0;
    }
    double quantile(double share) { return percentile(latencies_, share); }
    double perSecond() const { return static_cast<double>(latencies_.size()) / seconds_; }
    std::uint32_t failures() const { return failures_; }

private:
    LoadClient client_;
    std::string wire_;
    std::vector<double> latencies_;
    std::uint32_t failures_ = 0;
    double seconds_ = 0;
};

/** Both ways, so that what else the machine does meets both alike. */
PathRow measure(std::uint16_t enginePort, std::uint16_t instancePort,
                const std::set<std::string> &instanceThreads, PathRow row,
                std::uint32_t outputTokens)
{
    Way direct(enginePort, row.connections, wireOf(row.isStreamed, outputTokens, true));
    Way through(instancePort, row.connections, wireOf(row.isStreamed, outputTokens, false));
    const std::uint32_t turn = row.connections == 1 ? 1 : row.requests / batches;
    const std::uint32_t warmUp = std::max(row.requests / 10, row.connections);
    direct.send(warmUp);
    through.send(warmUp);
    direct.forget();
    through.forget();
    const double before = processorMicros(instanceThreads);
    for (std::uint32_t sent = 0; sent < row.requests; sent += turn) {
        direct.send(turn);
        through.send(turn);
    }
    row.cpuMicros = (processorMicros(instanceThreads) - before) / row.requests;
    row.failures = direct.failures() + through.failures();
    row.directP50 = direct.quantile(0.5);
    row.directP99 = direct.quantile(0.99);
    row.throughP50 = through.quantile(0.5);
    row.throughP99 = through.quantile(0.99);
    row.directPerSecond = direct.perSecond();
    row.throughPerSecond = through.perSecond();
    return row;
}

} // namespace

nlohmann::json PathRow::toJson() const
{
    return {{"streamed", isStreamed},
            {"connections", connections},
            {"requests", requests},
            {"failures", failures},
            {"direct_p50_us", directP50},
            {"direct_p99_us", directP99},
            {"through_p50_us", throughP50},
            {"through_p99_us", throughP99},
            {"added_p50_us", throughP50 - directP50},
            {"added_p99_us", throughP99 - directP99},
            {"p50_ratio", directP50 > 0 ? throughP50 / directP50 : 0},
            {"p99_ratio", directP99 > 0 ? throughP99 / directP99 : 0},
            {"direct_per_second", directPerSecond},
            {"through_per_second", throughPerSecond},
            {"cpu_us_per_request", cpuMicros},
            {"requests_per_core_second", perCoreSecond()}};
}

std::vector<PathRow> runPath(const PathOptions &options)
{
    EngineOptions engineOptions;
    engineOptions.keepsRecords = false;
    engineOptions.models = {"bench@1"};
    StandinHost<StandinEngine> engine(engineOptions);
    Settings settings = makeBenchSettings();
    addEngine(settings, engine.address());
    const std::set<std::string> others = threadIds();
    const BenchInstance instance(settings, 1);
    std::set<std::string> instanceThreads;
    for (const std::string &id : threadIds()) {
        if (others.count(id) == 0)
            instanceThreads.insert(id);
    }
    std::vector<PathRow> rows;
    for (const std::uint32_t connections : {1U, manyConnections}) {
        for (const bool isStreamed : {false, true}) {
            PathRow row;
            row.isStreamed = isStreamed;
            row.connections = connections;
            row.requests = connections == 1 ? options.requests : options.requests * 4;
            rows.push_back(measure(engine.port(), instance.port(), instanceThreads, row,
                                   options.outputTokens));
        }
    }
    return rows;
}

} // namespace cuminrail::pathbench

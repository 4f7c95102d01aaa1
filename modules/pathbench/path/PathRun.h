#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace cuminrail::pathbench {

struct PathOptions
{
    /** Requests each way for one connection; many connections get four times as many. */
    std::uint32_t requests = 4000;
    std::uint32_t outputTokens = 16;
};

/** One kind of request, direct and through an instance, in turns within one run. */
struct PathRow
{
    bool isStreamed = false;
    std::uint32_t connections = 1;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    double directP50 = 0;
    double directP99 = 0;
    double throughP50 = 0;
    double throughP99 = 0;
    double directPerSecond = 0;
    double throughPerSecond = 0;
    /** Processor time of the instance's threads for each request, in µs. */
    double cpuMicros = 0;

    /** What one core of instances could carry, from the processor time alone. */
    double perCoreSecond() const { return cpuMicros > 0 ? 1e6 / cpuMicros : 0; }
    nlohmann::json toJson() const;
};

/** Measures plain and streamed completions over 1 and 256 connections. */
std::vector<PathRow> runPath(const PathOptions &options);

} // namespace cuminrail::pathbench

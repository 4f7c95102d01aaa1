#pragma once

#include "core/ids/Indexes.h"
#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "routing/prefix/PrefixChain.h"
#include "settings/model/Settings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail::policybench {

/** One request of a workload. Times are milliseconds from the start of the run. */
struct WorkloadRequest
{
    double arrival = 0;
    /** Index of the customer in Workload::customers. */
    std::size_t customer = 0;
    /** The instance to which the load balancer sends the request. */
    std::size_t instance = 0;
    Priority priority = Priority::Interactive;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /** Time by which the complete answer is required; 0 for none. */
    double deadline = 0;
    bool repeatable = true;
    /** Prefixes: shared by all prompts of the customer, up to the document's end, whole prompt. */
    PrefixChain prefixes;
};

/** Engines that fail at the same time, lose all their jobs, and return with empty caches. */
struct Outage
{
    double from = 0;
    double to = 0;
    /** Indexes into Settings::fleet.engines. */
    std::vector<std::size_t> engines;
};

/** Complete input of a run, generated from a name and a seed. */
struct Workload
{
    std::string name;
    Settings settings;
    std::vector<CustomerId> customers;
    std::vector<WorkloadRequest> requests;
    std::vector<Outage> outages;
    std::size_t instances = 6;
    double duration = 0;
    /** Interval between load reports of an engine, and their delay, in milliseconds. */
    double reportEvery = 500;
    double reportLag = 300;
    /** Capacity of an engine's prefix cache in tokens. */
    double cacheTokens = 200000;
};

/** Returns the names of all workloads, in the order of their definition. */
const std::vector<std::string> &workloadNames();

/** Returns the workload for a name and a seed (deterministic), or nullopt for unknown names. */
std::optional<Workload> makeWorkload(std::string_view name, std::uint64_t seed);

} // namespace cuminrail::policybench

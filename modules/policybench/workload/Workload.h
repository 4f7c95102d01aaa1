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
    /** Place of the customer in Workload::customers. */
    std::size_t customer = 0;
    /** The instance that the balancer sends it to. */
    std::size_t instance = 0;
    Priority priority = Priority::Interactive;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /** When the whole answer must be there; 0 for none. */
    double deadline = 0;
    bool repeatable = true;
    /** The customer's common start, the document, the whole prompt. */
    PrefixChain prefixes;
};

/** Engines that vanish at once, with all that runs there, and come back empty. */
struct Outage
{
    double from = 0;
    double to = 0;
    /** Places in Settings::fleet.engines. */
    std::vector<std::size_t> engines;
};

/** Everything that a run needs, from a name and a seed. */
struct Workload
{
    std::string name;
    Settings settings;
    std::vector<CustomerId> customers;
    std::vector<WorkloadRequest> requests;
    std::vector<Outage> outages;
    std::size_t instances = 6;
    double duration = 0;
    /** How often engines publish their load, and how late it arrives. */
    double reportEvery = 500;
    double reportLag = 300;
    /** Tokens of prefixes that an engine's cache holds. */
    double cacheTokens = 200000;
};

/** Names of all workloads, in the order of the table. */
const std::vector<std::string> &workloadNames();

/** Returns a workload; the same for the same name and seed. Nothing for an unknown name. */
std::optional<Workload> makeWorkload(std::string_view name, std::uint64_t seed);

} // namespace cuminrail::policybench

#pragma once

#include "admission/limits/CustomerLimiter.h"
#include "policybench/workload/Workload.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminrail::policybench {

/** How a request of the workload ended. */
enum class Ending : std::uint8_t {
    /** No final answer: a request was lost, which must not happen. */
    None,
    Answered,
    /** Refused before it was run. */
    Refused,
    /** Refused because the customer exceeded its limit. */
    RefusedByLimit,
    /** Failed without a retry (not repeatable, or no attempts left); the caller got an error. */
    Failed,
};

/** Outcome of one request. Times in milliseconds from the start of the run. */
struct RequestRecord
{
    Ending ending = Ending::None;
    double firstTokenAt = 0;
    double endedAt = 0;
    bool onReclaimable = false;
};

/** Results of one run; scoreToJson() gives the names in the JSON. */
struct Score
{
    double goodput = 0;
    double goodputBound = 0;
    double worstCustomer = 0;
    double firstTokenP95 = 0;
    double tokenTimeP95 = 0;
    std::size_t roleChanges = 0;
    /** Price of engine time per 1,000 good answers; one hour of a regular engine costs 1. */
    double cost = 0;
    /** Share of the tokens processed on reclaimable engines. */
    double cheapShare = 0;
    std::size_t refusedNotRun = 0;
    /** Answered completely, but the first token missed its target. */
    std::size_t lateFirstToken = 0;
    /** Answered completely, but tokens were too slow, or the answer missed its deadline. */
    std::size_t slowAnswer = 0;
    std::size_t failed = 0;
    std::size_t lost = 0;
    std::size_t requests = 0;
    /** Share of the time in which engines were busy, and of prompt tokens found in caches. */
    double engineBusy = 0;
    double cachedShare = 0;
    /** Mean number of answers that one step generates tokens for. */
    double meanBatch = 0;
};

/** Returns true if the first token missed its target. */
bool isLate(const WorkloadRequest &request, const RequestRecord &record);

/** Returns true if the answer was complete and within its targets. */
bool isGood(const WorkloadRequest &request, const RequestRecord &record);

/** Computes the results of a run. */
Score scoreOf(const Workload &workload, const std::vector<RequestRecord> &records);

/**
    Returns an upper bound of the goodput. Assumes that engines are always busy, that each prefix
    stays cached after its first use, and that the cheapest requests are served first.
*/
double goodputBound(const Workload &workload);

nlohmann::json scoreToJson(const Score &score);

} // namespace cuminrail::policybench

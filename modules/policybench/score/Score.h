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
    /** No final answer came: must not happen. */
    None,
    Answered,
    /** Refused before it ran. */
    Refused,
    /** Refused by its customer's own limit. */
    RefusedByLimit,
    /** It broke, and was not repeatable or ran out of attempts; the caller was told. */
    Failed,
};

/** What the bench saw of one request. Times in milliseconds from the start of the run. */
struct RequestRecord
{
    Ending ending = Ending::None;
    double firstTokenAt = 0;
    double endedAt = 0;
    bool onReclaimable = false;
};

/** The figures of one run; names as in the JSON. */
struct Score
{
    double goodput = 0;
    double goodputBound = 0;
    double worstCustomer = 0;
    double firstTokenP95 = 0;
    double tokenTimeP95 = 0;
    std::size_t roleChanges = 0;
    /** Price of the engines' time for 1,000 good answers; a regular engine's hour is 1. */
    double cost = 0;
    /** Share of the tokens that ran on reclaimable engines. */
    double cheapShare = 0;
    std::size_t refusedNotRun = 0;
    /** Answered whole, but the first token came late. */
    std::size_t lateFirstToken = 0;
    /** Answered whole, but tokens came too slowly, or the answer after its deadline. */
    std::size_t slowAnswer = 0;
    std::size_t failed = 0;
    std::size_t lost = 0;
    std::size_t requests = 0;
    /** Share of the time that engines worked, of prompt tokens that were cached. */
    double engineBusy = 0;
    double cachedShare = 0;
    /** Mean number of answers written in one step. */
    double meanBatch = 0;
};

/** Returns true when the first token came after its target. */
bool isLate(const WorkloadRequest &request, const RequestRecord &record);

/** Returns true when the answer came whole and within its targets. */
bool isGood(const WorkloadRequest &request, const RequestRecord &record);

/** Returns the figures of a run. */
Score scoreOf(const Workload &workload, const std::vector<RequestRecord> &records);

/**
    Returns an upper bound of the goodput: engines that are always busy, every prefix cached once
    it was seen, the cheapest requests first.
*/
double goodputBound(const Workload &workload);

nlohmann::json scoreToJson(const Score &score);

} // namespace cuminrail::policybench

#pragma once

#include "core/names/NameTable.h"
#include "emulation/load/ArrivalPlan.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cuminrail::emulation {

/** Outcome of a request as seen by its caller. */
enum class LoadEnding : std::uint8_t {
    None,
    /** Complete, first event within the goal and no pause above the pause goal of its kind. */
    OnTime,
    Late,
    /** Rejected without having run. */
    Refused,
    Failed,
};

/** Outcome of one request. Times in milliseconds since the start of the simulation. */
struct LoadRecord
{
    LoadEnding ending = LoadEnding::None;
    double firstAt = 0;
    double endedAt = 0;
    double longestPauseMs = 0;
};

/** State of all engines at one time. */
struct EngineSample
{
    double atMs = 0;
    int prefill = 0;
    int decode = 0;
    int changing = 0;
    int running = 0;
    int waiting = 0;
    /** Shares of all engines' memory: reserved by running requests, and used by cached parts. */
    double reservedShare = 0;
    double cachedShare = 0;
};

/** Cumulative counts over all engines. */
struct EngineTotals
{
    double readTokens = 0;
    double keptTokens = 0;
    double movedTokens = 0;
    int stageChanges = 0;
    int repeats = 0;
};

/** Results for one kind of request. */
struct KindFigures
{
    std::string name;
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    double firstMedianMs = 0;
    double firstP90Ms = 0;
    double pauseP90Ms = 0;
    /** Value earned divided by the value of all requests. */
    double earned = 0;
};

/** Results of a whole run. */
struct LoadReport
{
    std::vector<KindFigures> kinds;
    /**
        Value earned divided by the value of all requests: in total, in the two worst windows (their
        mean) and for the worst kind.
    */
    double earned = 0;
    double worstWindows = 0;
    double worstKind = 0;
    EngineTotals engines;
};

/** Length of the windows that worstWindows is computed over. */
inline constexpr double reportWindowMs = 2000;

LoadReport makeLoadReport(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                          const std::vector<LoadRecord> &records, const EngineTotals &engines);

nlohmann::json toJson(const LoadReport &report);

/** Returns CSV with a header and one row per second: requests by outcome, and engine state. */
std::string seriesCsv(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                      const std::vector<LoadRecord> &records,
                      const std::vector<EngineSample> &samples);

} // namespace cuminrail::emulation

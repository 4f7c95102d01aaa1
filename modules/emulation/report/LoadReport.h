#pragma once

#include "core/names/NameTable.h"
#include "emulation/load/ArrivalPlan.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cuminrail::emulation {

/** How a request ended, for its caller. */
enum class LoadEnding : std::uint8_t {
    None,
    /** Whole, its first event within the goal and no pause above the kind's. */
    OnTime,
    Late,
    /** It did not run, and was told so. */
    Refused,
    Failed,
};

/** What became of one request. Times in milliseconds from the start of the day. */
struct LoadRecord
{
    LoadEnding ending = LoadEnding::None;
    double firstAt = 0;
    double endedAt = 0;
    double longestPauseMs = 0;
};

/** The engines' state at one moment. */
struct EngineSample
{
    double atMs = 0;
    int prefill = 0;
    int decode = 0;
    int changing = 0;
    int running = 0;
    int waiting = 0;
    /** Of all engines' memory: running requests, and cached parts. */
    double reservedShare = 0;
    double cachedShare = 0;
};

/** What all engines did. */
struct EngineTotals
{
    double readTokens = 0;
    double keptTokens = 0;
    double movedTokens = 0;
    int stageChanges = 0;
    int repeats = 0;
};

/** The figures of one kind of request. */
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
    /** Worth earned of worth asked. */
    double earned = 0;
};

/** The figures of a whole day. */
struct LoadReport
{
    std::vector<KindFigures> kinds;
    /** Worth earned of worth asked: over the day, its two worst windows, its worst kind. */
    double earned = 0;
    double worstWindows = 0;
    double worstKind = 0;
    EngineTotals engines;
};

/** How long one of the windows is that the worst are taken from. */
inline constexpr double reportWindowMs = 2000;

LoadReport makeLoadReport(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                          const std::vector<LoadRecord> &records, const EngineTotals &engines);

nlohmann::json toJson(const LoadReport &report);

/** Returns one line a second, with a head line: what was asked and how it ended, and the engines.
 */
std::string seriesCsv(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                      const std::vector<LoadRecord> &records,
                      const std::vector<EngineSample> &samples);

} // namespace cuminrail::emulation

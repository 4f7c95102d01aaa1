#pragma once

#include "engineview/reports/EngineReport.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

enum class ReportMessageKind : std::uint8_t {
    /** Samples of loads. */
    Reports = 1,
    /** "Tell me the facts of these engines." */
    FactsWanted = 2,
    /** Role, models, adapters and incarnation of engines. */
    Facts = 3,
};

/** A message between instances about engines; one of the lists is filled, by kind. */
struct ReportMessage
{
    ReportMessageKind kind = ReportMessageKind::Reports;
    std::vector<EngineReport> reports;
    std::vector<EngineKey> wanted;
    std::vector<EngineState> facts;
};

/** Reports in one frame at the most; more go into further frames. */
inline constexpr std::size_t maxReportsPerFrame = 2048;
/** Facts in one frame at the most. */
inline constexpr std::size_t maxFactsPerFrame = 64;

/**
    Encodes a message. Sample times travel as ages, since no two machines' clocks compare.

    A report takes 14 bytes: key 4, facts 4, running 2, waiting 2, age 2 (in units of 10 ms).
*/
std::string encodeReportMessage(const ReportMessage &message, Millis now);

/** Decodes a frame; nothing for one that is malformed or over the bounds. */
std::optional<ReportMessage> decodeReportMessage(const std::string &frame, Millis now);

} // namespace cuminrail

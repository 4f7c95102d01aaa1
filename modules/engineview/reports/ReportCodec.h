#pragma once

#include "engineview/reports/EngineReport.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

enum class ReportMessageKind : std::uint8_t {
    /** Load samples. */
    Reports = 1,
    /** Query for the facts of these engines. */
    FactsWanted = 2,
    /** Role, models, adapters and incarnation of engines. */
    Facts = 3,
};

/** A message about engines between instances; the kind determines which of the lists is set. */
struct ReportMessage
{
    ReportMessageKind kind = ReportMessageKind::Reports;
    std::vector<EngineReport> reports;
    std::vector<EngineKey> wanted;
    std::vector<EngineState> facts;
};

/** Maximum number of reports in one frame; the rest go into further frames. */
inline constexpr std::size_t maxReportsPerFrame = 2048;
/** Maximum number of facts in one frame. */
inline constexpr std::size_t maxFactsPerFrame = 64;

/**
    Encodes a message. Sample times are sent as ages, because the clocks of two machines cannot be
    compared.

    A report takes 14 bytes: key 4, facts 4, running 2, waiting 2, age 2 (in units of 10 ms).
*/
std::string encodeReportMessage(const ReportMessage &message, Millis now);

/** Decodes a frame; returns nothing if it is malformed or exceeds a limit. */
std::optional<ReportMessage> decodeReportMessage(const std::string &frame, Millis now);

} // namespace cuminrail

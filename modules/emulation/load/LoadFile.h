#pragma once

#include "core/errors/Reason.h"
#include "emulation/load/LoadPlan.h"

#include <optional>
#include <string>

namespace cuminrail::emulation {

/**
    Parses a load file: one JSON object with the members of LoadPlan, in milliseconds and tokens.

    Unknown members, wrong types and values out of range are rejected with their path, as in
    "kinds[2].goal_ms: must be above 0".
*/
std::optional<LoadPlan> parseLoadFile(const std::string &text, Reason *lastReason);

} // namespace cuminrail::emulation

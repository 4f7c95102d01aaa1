#pragma once

#include "core/ids/Ids.h"
#include "ports/engines/EngineControl.h"
#include "routing/leaving/LeavingSet.h"

#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** The part of an engine's last report that routing needs. */
struct ReportedEngineState
{
    Incarnation incarnation = 0;
    EngineRole role = EngineRole::Mixed;
    /** "model@version" or "model"; empty until the engine has reported its models. */
    std::vector<std::string> models;
    std::vector<std::string> adapters;
};

/** Reported state that a routing table is built from, in addition to the settings. */
struct FleetState
{
    /** Engines that have reported; the settings alone describe the others. */
    std::map<UpstreamId, ReportedEngineState> engines;
    LeavingSet leaving;
};

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"
#include "ports/engines/EngineControl.h"
#include "routing/leaving/LeavingSet.h"

#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** What one engine last said of itself, as far as routing needs it. */
struct EngineFacts
{
    Incarnation incarnation = 0;
    EngineRole role = EngineRole::Mixed;
    /** "model@version" or "model"; empty while the engine has not said. */
    std::vector<std::string> models;
    std::vector<std::string> adapters;
};

/** What is known beside the settings when a table is built. */
struct LiveFacts
{
    /** Engines that have reported; one that has not is taken as the settings describe it. */
    std::map<UpstreamId, EngineFacts> engines;
    LeavingSet leaving;
};

} // namespace cuminrail

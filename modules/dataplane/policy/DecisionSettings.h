#pragma once

#include "core/errors/Reason.h"
#include "dataplane/fleet/FleetPlan.h"
#include "dataplane/placement/EnginePlacement.h"
#include "dataplane/roles/StagePlan.h"
#include "dataplane/waiting/PromptDeferral.h"

#include <string>
#include <vector>

namespace cuminrail {

/**
    The figures that decisions weigh with. The defaults are what instances run with; an operator or
   an experiment may set single ones by name.
*/
struct DecisionSettings
{
    PlacementWeights placement;
    StagePlanSettings stages;
    FleetPlanSettings fleet;
    DeferralSettings deferral;
    /** Of how many engines the books are asked before a long prompt is placed; 0 for none. */
    double booksAsked = 8;
    /** Prompts with fewer tokens to read are placed without asking, and not entered. */
    double leastBookTokens = 1000;

    /**
        Takes over "NAME=VALUE". Returns false, with a reason that names the figure and its bounds,
        for an unknown name, what is no number, or a value out of bounds; nothing changes then.
    */
    bool set(const std::string &text, Reason *lastReason);

    /** The names that set() knows, in the order of the documentation. */
    static std::vector<std::string> names();
};

} // namespace cuminrail

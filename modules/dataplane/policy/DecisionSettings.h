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
    /**
        Of how many engines the books are asked before a prompt is placed; 0 for none. More cost
        messages and find little that is better.
    */
    double booksAsked = 8;
    /**
        The same for short prompts, which gain nothing from parts that an engine holds.
    */
    double shortBooksAsked = 3;
    /**
        A prompt with fewer tokens to read is short: read within a chunk, it delays nobody, and is
        not entered.
    */
    double leastBookTokens = 1000;

    /**
        How urgent, 0 to 9 with 0 first, the reading of a prompt is that will be late: behind all
        that can be on time.
    */
    double lateUrgency = 8;
    /** Instances of a failure domain that watch the store for the others there; 0 for all. */
    double feedWatchers = 2;

    /** Returns of how many engines the books are asked for a prompt with so much to read. */
    std::size_t booksAskedFor(double freshTokens) const
    {
        return static_cast<std::size_t>(freshTokens < leastBookTokens ? shortBooksAsked
                                                                      : booksAsked);
    }
    /** Returns true for a prompt whose reading is entered in its engine's book. */
    bool isEntered(double freshTokens) const
    {
        return booksAsked > 0 && freshTokens >= leastBookTokens;
    }

    /**
        Takes over "NAME=VALUE". Returns false, with a reason that names the figure and its bounds,
        for an unknown name, what is no number, or a value out of bounds; nothing changes then.
    */
    bool set(const std::string &text, Reason *lastReason);

    /** The names that set() knows, in the order of the documentation. */
    static std::vector<std::string> names();
};

} // namespace cuminrail

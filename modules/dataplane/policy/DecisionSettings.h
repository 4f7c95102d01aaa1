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
    Parameters of all decisions of the data plane. Instances run with the defaults; an operator or
    an experiment can set single ones by name.
*/
struct DecisionSettings
{
    PlacementWeights placement;
    StagePlanSettings stages;
    FleetPlanSettings fleet;
    DeferralSettings deferral;
    /**
        Number of engines whose prefill trackers are queried before a prompt is placed; 0 for none.
        Querying more costs messages and seldom finds a better engine.
    */
    double booksAsked = 8;
    /** The same for short prompts, which gain nothing from parts that an engine has cached. */
    double shortBooksAsked = 3;
    /**
        A prompt with fewer tokens to prefill is short: its prefill fits in one chunk and delays no
        other prompt, so it is not announced to the engine's prefill tracker.
    */
    double leastBookTokens = 1000;

    /**
        Urgency, from 0 (first) to 9, of the prefill of a prompt that will miss its latency target:
        it is processed after all prompts that can still meet theirs.
    */
    double lateUrgency = 8;
    /** Instances of a failure domain that watch the store on behalf of the others; 0 for all. */
    double feedWatchers = 2;
    /**
        What an instance does that reaches no upstream: 1 lets other instances carry its requests; 0
        refuses them and reports the instance as not ready.
    */
    double carryWhenCut = 1;

    /** Returns how many engines' prefill trackers are queried for a prompt with @p freshTokens. */
    std::size_t booksAskedFor(double freshTokens) const
    {
        return static_cast<std::size_t>(freshTokens < leastBookTokens ? shortBooksAsked
                                                                      : booksAsked);
    }
    /** Returns true for a prompt whose prefill is announced to its engine's prefill tracker. */
    bool isEntered(double freshTokens) const
    {
        return booksAsked > 0 && freshTokens >= leastBookTokens;
    }

    /**
        Applies a setting given as "NAME=VALUE". Returns false and changes nothing for an unknown
        name, a value that is not a number, or a value out of bounds; @p lastReason then names the
        setting and its bounds.
    */
    bool set(const std::string &text, Reason *lastReason);

    /** Returns the names that set() accepts, in the order of the documentation. */
    static std::vector<std::string> names();
};

} // namespace cuminrail

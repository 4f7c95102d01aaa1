#pragma once

#include "ports/store/ObjectStore.h"
#include "usage/record/CounterRecord.h"
#include "usage/record/SealedWindow.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One counter object as a list showed it. */
struct CounterSource
{
    /** "<instance>-<incarnation>" */
    std::string name;
    ObjectVersion version = 0;
    CounterRecord record;
};

/** Which window to make up, and what is known about its counters. */
struct UsageMergeInput
{
    WindowIndex window = 0;
    std::string windowId;
    std::optional<UsageCarry> previous;
    std::vector<CounterSource> sources;
    /** Says whether a counter object will change no more. */
    std::function<bool(const CounterSource &)> isClosed;
};

/**
    Makes up a window: the sum of all cumulative counters at its end, less what was reported.

    Use that reached the store after its own window was sealed is in the sum and not yet in what
    was reported, so it falls into this window; it is marked as late. A list that lags shows less
    than was reported; the figures then are zero and never negative.
*/
SealedWindow mergeUsage(const UsageMergeInput &input);

} // namespace cuminrail

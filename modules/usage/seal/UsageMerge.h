#pragma once

#include "ports/store/ObjectStore.h"
#include "usage/record/CounterRecord.h"
#include "usage/record/SealedWindow.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One counter object as returned by a list. */
struct CounterSource
{
    /** "<instance>-<incarnation>" */
    std::string name;
    ObjectVersion version = 0;
    CounterRecord record;
};

/** The window to compute, and the state of its counters. */
struct UsageMergeInput
{
    WindowIndex window = 0;
    std::string windowId;
    std::optional<UsageCarry> previous;
    std::vector<CounterSource> sources;
    /** Returns whether a counter object is final. */
    std::function<bool(const CounterSource &)> isClosed;
};

/**
    Computes a window: the sum of all cumulative counters at its end, less the usage that was
    reported.

    Usage that reached the store after its own window was sealed is in the sum but was not reported,
    so it becomes part of this window and is marked as late. A stale list shows less than was
    reported; the figures are then zero and never negative.
*/
SealedWindow mergeUsage(const UsageMergeInput &input);

} // namespace cuminrail

#pragma once

#include "core/errors/Reason.h"
#include "usage/figures/UsageFigures.h"
#include "usage/figures/UsageWindows.h"

#include <optional>
#include <string>

namespace cuminrail {

/**
    The value of an object "usage/<team>/counters/<instance>-<incarnation>".

    All figures are cumulative over one life of an instance. Beside the present state it holds the
    state at the beginning of the window and of the one before, so that a window is cut at its end
    although the object is written later.
*/
struct CounterRecord
{
    WindowIndex window = 0;
    CustomerUsage total;
    CustomerUsage atWindowStart;
    CustomerUsage atPreviousStart;
    /** The instance has stopped as planned and counts no more. */
    bool isFinal = false;

    /** Returns what had been used when a window ended, as far as this record knows. */
    const CustomerUsage &atEndOf(WindowIndex ended) const;
    /** Returns what had been used when a window began, as far as this record knows. */
    const CustomerUsage &atBeginOf(WindowIndex begun) const;

    std::string toText() const;
    static std::optional<CounterRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail

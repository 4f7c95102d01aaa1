#pragma once

#include "core/errors/Reason.h"
#include "usage/counters/UsageCounters.h"
#include "usage/counters/UsageWindows.h"

#include <optional>
#include <string>

namespace cuminrail {

/**
    The value of the object "usage/<team>/counters/<instance>-<incarnation>".

    All counts are cumulative over one incarnation of an instance. Besides the present state it
    holds the state at the beginning of the window and of the one before, so that the usage of a
    window ends exactly at its end although the object is written later.
*/
struct CounterRecord
{
    WindowIndex window = 0;
    CustomerUsage total;
    CustomerUsage atWindowStart;
    CustomerUsage atPreviousStart;
    /** The instance has stopped as planned; the counters are final. */
    bool isFinal = false;

    /** Returns the usage at the end of a window, as far as this record contains it. */
    const CustomerUsage &atEndOf(WindowIndex ended) const;
    /** Returns the usage at the beginning of a window, as far as this record contains it. */
    const CustomerUsage &atBeginOf(WindowIndex begun) const;

    std::string toText() const;
    static std::optional<CounterRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail

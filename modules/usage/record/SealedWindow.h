#pragma once

#include "core/errors/Reason.h"
#include "usage/counters/UsageCounters.h"
#include "usage/counters/UsageWindows.h"

#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/**
    The final counters of an ended incarnation of an instance, kept until their object is removed.
*/
struct FoldedCounters
{
    CustomerUsage total;
    /** The window at whose seal the counters were last present in the store. */
    WindowIndex lastSeen = 0;
};

/** The state that the merge of the next window needs from this one. */
struct UsageCarry
{
    /** All usage that was reported or is in this window. */
    CustomerUsage reportedTotal;
    /** The sum of all folded counters, also of those removed long ago. */
    CustomerUsage foldedTotal;
    /** Folded counters by the name of their object. */
    std::map<std::string, FoldedCounters> folded;
};

/**
    The value of the object "usage/<team>/sealed/<window>": created once, its figures never change.
*/
struct SealedWindow
{
    WindowIndex window = 0;
    /** "north/2026-12-02T10:15:00" */
    std::string windowId;
    /** The exact bytes that are reported. */
    std::string figures;
    UsageCarry carry;
    bool isReported = false;

    std::string toText() const;
    static std::optional<SealedWindow> fromText(const std::string &text, Reason *lastReason);
};

/** Returns the figures to report: the usage per customer, and the part of it that arrived late. */
std::string usageFiguresText(const std::string &windowId, const CustomerUsage &used,
                             const CustomerUsage &late);

} // namespace cuminrail

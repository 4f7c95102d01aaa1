#pragma once

#include "core/errors/Reason.h"
#include "usage/figures/UsageFigures.h"
#include "usage/figures/UsageWindows.h"

#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/** The counters of a life of an instance that will count no more, kept until they are gone. */
struct FoldedCounters
{
    CustomerUsage total;
    /** The window at whose seal the counters were last seen in the store. */
    WindowIndex lastSeen = 0;
};

/** What the next window's merge needs from this one. */
struct UsageCarry
{
    /** All that has ever been reported or is in this window. */
    CustomerUsage reportedTotal;
    /** The sum of all folded counters, also of those that are long removed. */
    CustomerUsage foldedTotal;
    /** By name of the counter object. */
    std::map<std::string, FoldedCounters> folded;
};

/** The value of an object "usage/<team>/sealed/<window>": created once, its figures never change.
 */
struct SealedWindow
{
    WindowIndex window = 0;
    /** "north/2026-12-02T10:15:00" */
    std::string windowId;
    /** The bytes that are reported. */
    std::string figures;
    UsageCarry carry;
    bool isReported = false;

    std::string toText() const;
    static std::optional<SealedWindow> fromText(const std::string &text, Reason *lastReason);
};

/** Returns the figures' bytes: per customer what was used, and which of it came late. */
std::string usageFiguresText(const std::string &windowId, const CustomerUsage &used,
                             const CustomerUsage &late);

} // namespace cuminrail

#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <string>

namespace cuminrail {

/** The number of a usage window, counted from 1970; windows are sealed in this order, none left
 * out. */
using WindowIndex = std::int64_t;

/**
    Cuts calendar time into usage windows.

    Calendar time names windows and nothing else: instances whose calendars differ only put a
    little use into a neighbouring window.
*/
class UsageWindows
{
public:
    explicit UsageWindows(Millis length) : length_(length) { }

    /** Returns the window of an instant, given in milliseconds since 1970 in UTC. */
    WindowIndex indexAt(Millis sinceEpoch) const { return sinceEpoch.count() / length_.count(); }
    /** Returns the instant at which a window begins. */
    Millis beginOf(WindowIndex index) const { return length_ * index; }
    /** Returns the name of a window, for instance "2026-12-02T10:15:00". */
    std::string nameOf(WindowIndex index) const;
    /** Returns the text that sorts as the windows do, for paths in the store. */
    static std::string keyOf(WindowIndex index);

private:
    Millis length_;
};

} // namespace cuminrail

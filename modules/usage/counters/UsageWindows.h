#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <string>

namespace cuminrail {

/**
    The number of a usage window, counted from 1970; windows are sealed in this order without gaps.
*/
using WindowIndex = std::int64_t;

/**
    Divides calendar time into usage windows.

    Calendar time only names windows: between instances whose clocks differ, some usage merely moves
    to an adjacent window.
*/
class UsageWindows
{
public:
    explicit UsageWindows(Millis length) : length_(length) { }

    /** Returns the window of a time, given in milliseconds since 1970 in UTC. */
    WindowIndex indexAt(Millis sinceEpoch) const { return sinceEpoch.count() / length_.count(); }
    /** Returns the time at which a window begins. */
    Millis beginOf(WindowIndex index) const { return length_ * index; }
    /** Returns the name of a window, for example "2026-12-02T10:15:00". */
    std::string nameOf(WindowIndex index) const;
    /** Returns a text that sorts in the order of the windows, for paths in the store. */
    static std::string keyOf(WindowIndex index);

private:
    Millis length_;
};

} // namespace cuminrail

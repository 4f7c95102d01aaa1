#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** Timing of usage counts, from the instances that count them to the report. */
struct UsageTiming
{
    Millis window = Millis::seconds(5);
    /**
        Interval at which an instance sends its counts; a crash loses at most this much. The more
        instances there are, the smaller the share of each in the report, so the interval grows with
        their number, up to a window.
    */
    Millis minFlushInterval = Millis(1200);
    Millis flushIntervalPerInstance = Millis(200);
    /** Delay after a window's end until instances send their final counts of it. */
    Millis finalFlushDelay = Millis(300);
    /** Delay after a window's end until its counts are summed and sealed. */
    Millis sealDelay = Millis(2500);
    /**
        Delay after a window's end until it is sealed even if an instance that wrote recently has
        not completed it. Leaves time to send the report before it is due.
    */
    Millis maxSealDelay = Millis(7000);
    /** A new holder of the duty still reports windows up to this many windows back. */
    std::int64_t lookBackWindows = 4;
};

} // namespace cuminrail

#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** How usage travels from the instances that count it to the report. */
struct UsageTiming
{
    Millis window = Millis::seconds(5);
    /**
        How often an instance sends its counts: what a crash can lose. The more instances there
        are, the smaller is one's part of the report, and the longer it may wait: up to a window.
    */
    Millis flushLeast = Millis(1200);
    Millis flushEach = Millis(200);
    /** After a window's end: when instances send their counts of it for the last time. */
    Millis lastFlush = Millis(300);
    /** After a window's end: when its counts are taken together. */
    Millis sealAfter = Millis(2500);
    /**
        After a window's end: sealed even if an instance that wrote of late has not completed it.
        Leaves time for the report itself until it is due.
    */
    Millis sealAtLatest = Millis(7000);
    /** Windows this far back are still reported after a change of the holder. */
    std::int64_t lookBack = 4;
};

} // namespace cuminrail

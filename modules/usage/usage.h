#pragma once

/**
    Usage: counted at every instance, merged per team, sealed once per window, reported from the
    seal.

    Purpose: no window is ever reported with two different sets of figures. Counters are cumulative
    per incarnation of an instance, so that merging them twice counts nothing twice. See
    docs/USAGE.md.

    Runs on an instance's control thread; request threads hand over their counts.

    Depends on: core, ports, lease, nlohmann-json.
*/

#include "usage/counters/UsageCounters.h"
#include "usage/counters/UsageWindows.h"
#include "usage/flush/FlushInterval.h"
#include "usage/flush/UsageFlusher.h"
#include "usage/record/CounterRecord.h"
#include "usage/record/SealedWindow.h"
#include "usage/seal/UsageMerge.h"
#include "usage/seal/UsageReporter.h"

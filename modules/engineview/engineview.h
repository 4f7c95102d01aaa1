#pragma once

/**
    The state of all engines as known to every instance: role, models and load, with its age.

    Purpose: if each of 370 instances polled each of 840 engines every second, that would be 310,000
    calls per second. Instead each engine is polled by one instance, and the others receive its
    newest sample from peers.

    Depends on: core, ports, settings, membership (frames), routing (live facts).
*/

#include "engineview/EngineView.h"
#include "engineview/poll/PollerChoice.h"
#include "engineview/reports/EngineReport.h"
#include "engineview/reports/ReportCodec.h"
#include "engineview/reports/ReportTable.h"

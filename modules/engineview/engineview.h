#pragma once

/**
    What all instances know of all engines: role, models, load, with its age.

    Purpose: 370 instances asking 840 engines each second would be 310,000 calls a second. Here each
    engine is asked by one instance, the others hear of it from peers, newest sample first.

    Depends on: core, ports, settings, membership (frames), routing (live facts).
*/

#include "engineview/EngineView.h"
#include "engineview/poll/PollerChoice.h"
#include "engineview/reports/EngineReport.h"
#include "engineview/reports/ReportCodec.h"
#include "engineview/reports/ReportTable.h"

#pragma once

/**
    Plays days of load against emulated engines, with the decisions that instances really take.

    Purpose: engines that read prompts in chunks and generate in batches, with shared memory for
    cached parts, stages, handles and transfers; load from a file and a seed; several placements
    side by side over the same requests; figures and series of one run. docs/EMULATION.md tells how
    close it comes to measured days.

    Depends on: core, dataplane, readingbooks, nlohmann-json.
*/

#include "emulation/load/LoadFile.h"
#include "emulation/report/LoadReport.h"
#include "emulation/run/LoadRun.h"

#pragma once

/**
    Simulates load scenarios against emulated engines, using the production placement code.

    Purpose: engines with chunked prefill and batched decoding, memory shared with cached prompt
    parts, stages, cache handles and transfers; load generated from a file and a seed; several
    placement policies compared on the same requests; summary and time series of one run.
    docs/EMULATION.md compares the results with measured days.

    Depends on: core, dataplane, readingbooks, nlohmann-json.
*/

#include "emulation/load/LoadFile.h"
#include "emulation/report/LoadReport.h"
#include "emulation/run/LoadRun.h"

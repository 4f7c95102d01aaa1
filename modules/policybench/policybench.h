#pragma once

/**
    Measures admission and routing, the very modules that an instance runs, in virtual time.

    Purpose: workloads from a seed, a small queueing fake of the engines (continuous batching,
    prefix cache, lagging reports), several instances that know nothing of each other's decisions,
    plain baselines over the same fake, and the score. docs/POLICY-BENCH.md has the figures.

    Depends on: core, settings, admission, routing, capacity, nlohmann-json.
*/

#include "policybench/score/Score.h"
#include "policybench/simulation/PolicyBench.h"

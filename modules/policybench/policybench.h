#pragma once

/**
    Benchmarks the admission and routing modules that an instance runs, in virtual time.

    Purpose: workloads generated from a seed, a small queueing model of the engines (continuous
    batching, prefix cache, delayed load reports), several instances that do not see each other's
    decisions, baseline policies over the same model, and the score. docs/POLICY-BENCH.md has
    the figures.

    Depends on: core, settings, admission, routing, capacity, nlohmann-json.
*/

#include "policybench/score/Score.h"
#include "policybench/simulation/PolicyBench.h"

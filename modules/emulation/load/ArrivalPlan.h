#pragma once

#include "dataplane/model/RequestMessages.h"
#include "emulation/load/LoadPlan.h"

#include <cstdint>
#include <vector>

namespace cuminrail::emulation {

/** One request of a simulated load. */
struct LoadRequest
{
    double atMs = 0;
    /** Index into LoadPlan::kinds. */
    std::size_t kind = 0;
    /** Index of the instance that receives the request. */
    std::size_t instance = 0;
    PromptShape prompt;
    int events = 1;
};

/** Generates the requests in order of arrival; deterministic for a given plan and seed. */
std::vector<LoadRequest> drawArrivals(const LoadPlan &plan, std::uint64_t seed);

} // namespace cuminrail::emulation

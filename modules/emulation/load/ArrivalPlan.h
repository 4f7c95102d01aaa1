#pragma once

#include "dataplane/model/RequestMessages.h"
#include "emulation/load/LoadPlan.h"

#include <cstdint>
#include <vector>

namespace cuminrail::emulation {

/** One request of a day. */
struct LoadRequest
{
    double atMs = 0;
    /** Place in LoadPlan::kinds. */
    std::size_t kind = 0;
    /** The instance that its caller is connected to. */
    std::size_t instance = 0;
    PromptShape prompt;
    int events = 1;
};

/** Returns a day's requests in the order of arrival; the same for the same plan and seed. */
std::vector<LoadRequest> drawArrivals(const LoadPlan &plan, std::uint64_t seed);

} // namespace cuminrail::emulation

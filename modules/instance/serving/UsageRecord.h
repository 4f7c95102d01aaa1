#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/verdict/Verdict.h"

#include <cstdint>
#include <functional>

namespace cuminrail {

/** The resource usage of one finished request, for billing its customer. */
struct UsageRecord
{
    CustomerId customer;
    TeamId team;
    PoolIndex pool = noIndex;
    bool isService = false;
    Verdict verdict = Verdict::NotRun;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
};

/** Called once on its request thread for each request that ran or may have run. */
using UsageHook = std::function<void(const UsageRecord &)>;

} // namespace cuminrail

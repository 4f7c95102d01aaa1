#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/verdict/Verdict.h"

#include <cstdint>
#include <functional>

namespace cuminrail {

/** What one finished request used, for the customer's bill. */
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

/** Called once for every request that ran or may have run, on its request thread. */
using UsageHook = std::function<void(const UsageRecord &)>;

} // namespace cuminrail

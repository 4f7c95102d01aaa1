#include "routing/live/PoolLoad.h"

namespace cuminrail {

PoolLoad poolLoad(const RoutingTable &table, const LiveLoads &loads, PoolIndex pool)
{
    PoolLoad sum;
    const RoutingPool &members = table.pool(pool);
    for (const PoolMembers *group : {&members.mixed, &members.prefill, &members.decode}) {
        for (UpstreamIndex index : group->all) {
            const UpstreamLoad &live = loads.upstream(index);
            sum.requests +=
                static_cast<double>(live.requests.load(std::memory_order_relaxed)
                                    + live.othersRequests.load(std::memory_order_relaxed));
            sum.promptTokens +=
                static_cast<double>(live.promptTokens.load(std::memory_order_relaxed)
                                    + live.othersPromptTokens.load(std::memory_order_relaxed));
        }
    }
    return sum;
}

} // namespace cuminrail

#pragma once

#include "core/ids/Indexes.h"
#include "routing/live/LiveLoads.h"
#include "routing/table/RoutingTable.h"

namespace cuminrail {

/** What all instances have in progress at a pool, from own counters and load reports. */
struct PoolLoad
{
    double requests = 0;
    double promptTokens = 0;
};

/** Sums the load of a pool's upstreams, for instanceCapacity(). Control thread. */
PoolLoad poolLoad(const RoutingTable &table, const LiveLoads &loads, PoolIndex pool);

} // namespace cuminrail

#pragma once

#include "core/ids/Indexes.h"
#include "routing/live/LiveLoads.h"
#include "routing/table/RoutingTable.h"

namespace cuminrail {

/** What all instances together have in progress at a pool, by own counters and reports. */
struct PoolLoad
{
    double requests = 0;
    double promptTokens = 0;
};

/** Adds up a pool's upstreams. Control thread, for the admission capacity of this instance. */
PoolLoad poolLoad(const RoutingTable &table, const LiveLoads &loads, PoolIndex pool);

} // namespace cuminrail

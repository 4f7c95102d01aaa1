#pragma once

/**
    Selects the upstream that runs a request.

    Purpose: an immutable routing table (published to request threads by read-copy-update), live
    counters and prefix-cache hints made of atomics, the selection itself, outlier ejection, and the
    set of upstreams that are leaving. docs/ROUTING.md has the design and the operators' view.

    Depends on: core, ports, settings.
*/

#include "routing/Router.h"
#include "routing/decision/RoutingChoice.h"
#include "routing/ejection/OutlierEjector.h"
#include "routing/leaving/LeavingSet.h"
#include "routing/live/LiveLoads.h"
#include "routing/live/PoolLoad.h"
#include "routing/peers/LoadExchange.h"
#include "routing/prefix/PrefixChain.h"
#include "routing/prefix/PrefixHints.h"
#include "routing/table/FleetState.h"
#include "routing/table/RoutingTable.h"
#include "routing/table/StableIndexes.h"

#pragma once

/**
    Orders to engines: load a model or adapter, change role, drain.

    Purpose: an engine never gets conflicting orders. Each order is recorded in the store before
    it is sent, an engine has at most one outstanding, and one whose result is unknown is settled
    by the engine's own state before a different one goes out. See docs/ORDERS.md.

    Runs on an instance's control thread alone.

    Depends on: core, ports, lease, nlohmann-json.
*/

#include "orders/keeper/OrderKeeper.h"
#include "orders/record/OrderRecord.h"
#include "orders/track/EngineOrderTrack.h"

#pragma once

/**
    Orders to engines: load a model or adapter, change role, drain.

    Purpose: an engine never receives conflicting orders. Each order is recorded in the store before
    it is sent, an engine has at most one outstanding order, and an order with an unknown result is
    settled by the engine's own state before a different one is sent. See docs/ORDERS.md.

    Runs on an instance's control thread only.

    Depends on: core, ports, lease, nlohmann-json.
*/

#include "orders/controller/EngineOrderController.h"
#include "orders/manager/OrderManager.h"
#include "orders/record/OrderRecord.h"

#pragma once

/**
    Number, cost class and role of engines.

    Purpose: changes the role of engines after a sustained change of the ratio of prompt to output
    work, and sets the platform's upstream targets by failure domain and cost class. Decisions are
    pure functions of their input and of previous decisions; FleetManager declares the targets to
    the platform as OrderManager sends role changes to engines. See docs/CAPACITY-CONTROL.md.

    Runs only on an instance's control thread.

    Depends on: core, ports, settings, lease, orders, nlohmann-json.
*/

#include "capacity/fleet/FleetManager.h"
#include "capacity/fleet/FleetPlanner.h"
#include "capacity/roles/RoleBalancer.h"

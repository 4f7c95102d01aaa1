#pragma once

/**
    How many engines there are, of which kind, and in which role.

    Purpose: role changes on sustained evidence of the prompt-to-output mix, and the platform's
    upstream targets by failure domain and cost class. Decisions are pure; FleetKeeper carries the
    targets to the platform as OrderKeeper carries role changes to engines. See
    docs/CAPACITY-CONTROL.md.

    Runs on an instance's control thread alone.

    Depends on: core, ports, settings, lease, orders, nlohmann-json.
*/

#include "capacity/fleet/FleetKeeper.h"
#include "capacity/fleet/FleetPlanner.h"
#include "capacity/roles/RoleBalancer.h"

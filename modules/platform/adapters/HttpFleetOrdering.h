#pragma once

#include "platform/client/PlatformClient.h"
#include "ports/fleet/FleetOrdering.h"

namespace cuminrail {

/** Returns the platform's ordering of upstreams and its list; targets obey their notAfter. */
FleetOrdering makeHttpFleetOrdering(PlatformClient &client, const std::string &address);

} // namespace cuminrail

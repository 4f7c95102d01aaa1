#pragma once

#include "platform/client/PlatformClient.h"
#include "ports/usage/UsageReceiver.h"

namespace cuminrail {

/** Returns the platform's interface for usage reports; reports obey their notAfter. */
UsageReceiver makeHttpUsageReceiver(PlatformClient &client, const std::string &address);

} // namespace cuminrail

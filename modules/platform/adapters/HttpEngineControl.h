#pragma once

#include "platform/client/PlatformClient.h"
#include "ports/engines/EngineControl.h"

namespace cuminrail {

/** Returns where an engine listens, or nothing for one that settings do not name. */
using EngineAddressHook = std::function<std::optional<std::string>(const UpstreamId &)>;

/**
    Returns engines' control interfaces.

    An order is written only before its notAfter, over a connection made for it alone that is closed
    at that instant. @see maxAuthoritySendInFlight for what may still arrive after it.
*/
EngineControl makeHttpEngineControl(PlatformClient &client, EngineAddressHook addressOf);

} // namespace cuminrail

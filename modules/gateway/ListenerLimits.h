#pragma once

#include "dataplane/model/Configuration.h"
#include "dataplane/model/InstanceSettings.h"
#include "net/server/HttpServer.h"

namespace cuminrail {

/** Returns the limits on callers, from the declared ones and from the size of the machine. */
HttpServerLimits callerLimits(const CallerLimits &caller, const InstanceSettings &settings);

/** Returns the limits of the port for probes, which come one at a time. */
HttpServerLimits readinessLimits(const InstanceSettings &settings);

/** Returns the limits of the admin port, where other instances read the configuration, too. */
HttpServerLimits adminLimits(const InstanceSettings &settings);

/** Returns how many accepted links may be in their handshake at the same time. */
std::size_t maxOpeningLinks(const InstanceSettings &settings);

} // namespace cuminrail

#pragma once

/**
    Upstreams that stated in a response that they leave, made known to all instances.

    Depends on core, ports, membership (bounds and encoding of frames), keepers.
*/

#include "departures/exchange/DepartureExchange.h"
#include "departures/messages/DepartureMessages.h"

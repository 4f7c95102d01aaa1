#pragma once

/**
    An instance that serves declared routes: callers' requests go to upstreams that list themselves
    in the platform's store, under a configuration that operators keep there.

    Sockets, timers and the order of steps are here; choices are made in dataplane. What messages
    look like on the wire comes in through hooks. Instances tell each other over links what engines
    have to read and what the store says.

    Depends on core, membership (bounds of frames), dataplane, readingbooks, quotas, lease, ports,
   net, runtime, peerlink.
*/

#include "gateway/Gateway.h"
#include "gateway/GatewayWire.h"

#pragma once

/**
    An instance that serves declared routes: it forwards callers' requests to upstreams that
    register in the platform's store, under a configuration that operators maintain there.

    This module contains the sockets, timers and sequence of steps; decisions are made in dataplane.
    The wire format of messages is supplied by hooks. Over their links, instances exchange the
    prefill load of engines and updates of the store.

    Depends on core, membership (frame limits), dataplane, readingbooks, quotas, lease, ports, net,
    runtime, peerlink.
*/

#include "gateway/Gateway.h"
#include "gateway/GatewayProtocol.h"

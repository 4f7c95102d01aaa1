#pragma once

/**
    One instance of cuminrail: the request path on sockets, and the thread that controls it.

    Purpose: request threads that carry callers' requests to upstreams and answers back, reading
    snapshots without locks; a control thread that publishes snapshots and holds everything that
    instances decide together; the operators' address; flags and the graceful stop.

    Depends on: core, ports, settings, identity, dispatch, admission, routing, lease, orders,
    usage, capacity, membership, configsync, runtime, net, platform, peerlink, prometheus-cpp.
*/

#include "instance/Instance.h"
#include "instance/config/InstanceConfig.h"
#include "instance/config/InstanceFlags.h"
#include "instance/control/ControlPlane.h"

#pragma once

/**
    One instance of cuminrail: the request path on sockets and its control thread.

    Purpose: request threads that forward callers' requests to upstreams and return the responses,
    reading snapshots without locks; a control thread that publishes snapshots and runs all
    coordination between instances; the admin server; flags and the graceful stop.

    Depends on: core, ports, settings, identity, dispatch, admission, routing, lease, orders,
    usage, capacity, membership, configsync, runtime, net, platform, peerlink, prometheus-cpp.
*/

#include "instance/Instance.h"
#include "instance/config/InstanceConfig.h"
#include "instance/config/InstanceFlags.h"
#include "instance/control/ControlPlane.h"

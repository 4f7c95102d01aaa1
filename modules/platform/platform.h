#pragma once

/**
    The ports' real sides: the platform's and the engines' interfaces over HTTP.

    Purpose: fill the ports' hooks from an event loop. Every call ends with a clear verdict: had no
    effect, had its effect, or may have had it. Calls that need authority are checked against its
    end when their bytes are written, over connections that serve this one call.

    Depends on: core, ports, runtime, net, Boost.Asio, nlohmann-json.
*/

#include "platform/adapters/HttpEngineControl.h"
#include "platform/adapters/HttpFleetOrdering.h"
#include "platform/adapters/HttpObjectStore.h"
#include "platform/adapters/HttpUsageReceiver.h"
#include "platform/adapters/HttpWeightStore.h"
#include "platform/client/ControlLoop.h"
#include "platform/client/PlatformClient.h"

#pragma once

/**
    Small stand-ins for what the system talks to: the platform, model engines, plain services.

    Purpose: tests, the demo and the benches need something real to connect to, which can break on
    command and which remembers what really arrived. A stand-in holds only what a request or a
    fault needs; it is no model of a cluster. The wire is described in docs/INTERFACES.md.

    Depends on: core, ports, Boost.Asio, Boost.Beast, nlohmann-json, OpenSSL (hashes).
*/

#include "standin/engine/StandinEngine.h"
#include "standin/faults/FaultPlan.h"
#include "standin/platform/StandinPlatform.h"
#include "standin/proxy/FaultProxy.h"
#include "standin/proxy/PathCut.h"
#include "standin/server/Exchange.h"
#include "standin/server/Recorder.h"
#include "standin/server/StandinHost.h"
#include "standin/server/StandinServer.h"
#include "standin/service/StandinService.h"
#include "standin/testing/BlockingHttp.h"

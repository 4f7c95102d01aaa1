#pragma once

/**
    What decision modules ask of the outside world, as hooks that adapters or tests fill in.

    Purpose: the platform's object store, its fleet ordering and usage receiver, engines' control
    interface, and messages to other instances. Rules for every hook: it never calls its completion
    from inside the call, calls it exactly once, and on the thread that made the call.

    Depends on: core.
*/

#include "ports/engines/EngineControl.h"
#include "ports/fleet/FleetOrdering.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"
#include "ports/usage/UsageReceiver.h"
#include "ports/weights/WeightStore.h"

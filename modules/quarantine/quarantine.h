#pragma once

/**
    Quarantine of requests that make the upstreams that run them crash.

    A request is recognized by its content, whoever sends it and at whichever instance it arrives.
    Instances announce to each other under which requests upstreams ended; quarantined requests are
    persisted in the store.

    Depends on core, ports, identity (hashes), keepers, membership (bounds and encoding of frames).
*/

#include "quarantine/exchange/QuarantineExchange.h"
#include "quarantine/fingerprint/RequestFingerprint.h"
#include "quarantine/messages/QuarantineMessages.h"
#include "quarantine/table/SuspicionTable.h"

#pragma once

/**
    Quarantine of what makes the upstreams that run it crash: whole requests, and parts that the
    prompts of many requests share.

    Both are recognized by their content, whoever sends it and at whichever instance it arrives.
    Instances announce to each other under which contents upstreams ended; quarantines are persisted
   in the store.

    Depends on core, ports, identity (hashes), keepers, membership (bounds and encoding of frames).
*/

#include "quarantine/exchange/QuarantineExchange.h"
#include "quarantine/fingerprint/RequestContents.h"
#include "quarantine/messages/QuarantineMessages.h"
#include "quarantine/table/QuarantineTable.h"
#include "quarantine/table/SuspicionTable.h"

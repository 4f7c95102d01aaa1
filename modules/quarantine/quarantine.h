#pragma once

/**
    Which requests are not run any more because upstreams end under them.

    A request is known again by what it asks, whoever sends it and wherever it arrives. Instances
    tell one another under which requests upstreams ended; the store keeps what is quarantined.

    Depends on core, ports, identity (hashes), keepers, membership (bounds and encoding of frames).
*/

#include "quarantine/book/SuspectBook.h"
#include "quarantine/exchange/QuarantineExchange.h"
#include "quarantine/fingerprint/RequestFingerprint.h"
#include "quarantine/messages/QuarantineMessages.h"

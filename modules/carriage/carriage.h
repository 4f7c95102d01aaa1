#pragma once

/**
    Carries callers' requests from an instance that reaches no upstream to one that does.

    The instance with the caller chooses a few carriers, hands requests to them and relays what they
    answer; a carrier runs the requests as if its own callers had sent them. Messages, flow control
    and the choice of carriers are here, without input or output.

    Depends on core, ports, membership (CBOR reader and limits).
*/

#include "carriage/calls/IncomingCalls.h"
#include "carriage/calls/OutgoingCalls.h"
#include "carriage/carriers/CarrierSet.h"
#include "carriage/messages/CarriageMessages.h"

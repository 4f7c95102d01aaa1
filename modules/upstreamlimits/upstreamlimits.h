#pragma once

/**
    Request rate limits that overloaded upstreams state in their responses, enforced over all
    instances together.

    Depends on core, ports, membership (bounds and encoding of frames), keepers, quotas.
*/

#include "upstreamlimits/exchange/LimitExchange.h"
#include "upstreamlimits/messages/LimitMessages.h"
#include "upstreamlimits/table/LimitTable.h"

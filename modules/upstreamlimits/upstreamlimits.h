#pragma once

/**
    Limits that upstreams in need name in their answers, kept over all instances together.

    Depends on core, ports, membership (bounds and encoding of frames), keepers, quotas.
*/

#include "upstreamlimits/exchange/LimitExchange.h"
#include "upstreamlimits/messages/LimitMessages.h"
#include "upstreamlimits/table/LimitTable.h"

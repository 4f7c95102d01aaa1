#pragma once

/**
    Customer quotas, enforced over all instances together.

    Each customer's token bucket is owned by one instance, which is queried before a request is
    sent. Requests are few and large compared with a quota, so a quota divided among all instances
    would leave each share too small for a single request.

    Depends on core, ports, dataplane (quotas as operators declare them), keepers, membership
    (bounds and encoding of frames).
*/

#include "quotas/exchange/QuotaExchange.h"
#include "quotas/ledger/QuotaLedger.h"
#include "quotas/messages/QuotaMessages.h"

#pragma once

/**
    Customers' quotas, kept over all instances together.

    One instance keeps each customer's bucket and is asked before a request goes out. Requests are
    few and large against a quota, so parts of it divided among instances would serve nobody.

    Depends on core, ports, dataplane (quotas as operators declare them), keepers, membership
    (bounds and encoding of frames).
*/

#include "quotas/book/QuotaBook.h"
#include "quotas/exchange/QuotaExchange.h"
#include "quotas/messages/QuotaMessages.h"

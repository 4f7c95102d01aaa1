#pragma once

/**
    Small records by key that outlive the instance that wrote them.

    Each record is kept in the memory of a few instances of different failure domains, which any
    instance can ask. A record never changes its value, so copies need no order.

    Depends on core, ports, membership (bounds and encoding of frames), keepers.
*/

#include "keyedrecords/exchange/RecordExchange.h"
#include "keyedrecords/messages/RecordMessages.h"
#include "keyedrecords/table/RecordTable.h"

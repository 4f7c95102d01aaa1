#pragma once

/**
    Determines which instance owns the state of a key that all instances query.

    The prefill tracker of an engine and the quota bucket of a customer are each held in the memory
    of one instance. All instances compute the same owner for a key, and exclude an owner that does
    not reply.

    Depends on core, ports.
*/

#include "keepers/numbers/QueryNumbers.h"
#include "keepers/ranking/OwnerRanking.h"

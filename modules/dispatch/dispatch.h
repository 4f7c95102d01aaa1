#pragma once

/**
    When a request may be sent, retried, or not.

    Purpose: retries that depend on the verdict of the last attempt, a retry budget for the whole
    instance, and claims in the platform's store that let a non-repeatable call run at most once
    however often, and at whichever instance, its caller repeats it.

    Depends on: core, ports, settings.
*/

#include "dispatch/claims/ClaimManager.h"
#include "dispatch/claims/ClaimRecord.h"
#include "dispatch/retry/RetryBudget.h"
#include "dispatch/retry/RetryPolicy.h"

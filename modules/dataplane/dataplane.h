#pragma once

/**
    Decisions on the way of a request through an instance that serves declared routes.

    Which route and customer a request has, which upstreams of a service may get work, which engine
    gets a prompt, whether a request may be sent once more, and what is counted for billing. Time
    and observations go in, choices come out; nothing here does input or output.

    Depends on core.
*/

#include "dataplane/fleet/FleetPlan.h"
#include "dataplane/fleet/UpstreamDirectory.h"
#include "dataplane/fleet/UpstreamHealth.h"
#include "dataplane/model/Configuration.h"
#include "dataplane/model/RouteIndex.h"
#include "dataplane/model/UpstreamEntry.h"
#include "dataplane/placement/EnginePlacement.h"
#include "dataplane/policy/DecisionSettings.h"
#include "dataplane/retry/RetryAllowance.h"
#include "dataplane/roles/StagePlan.h"
#include "dataplane/usage/UsageLedger.h"
#include "dataplane/waiting/PromptDeferral.h"

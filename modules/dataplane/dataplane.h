#pragma once

/**
    Decisions about a request on its way through an instance that serves declared routes.

    Selects the route and customer of a request, the upstreams of a service that may get work and
    the engine for a prompt; decides whether a request may be retried and what is counted for
    billing. All functions take the time and observations as arguments and return a decision;
    nothing here does input or output.

    Depends on core.
*/

#include "dataplane/fleet/FleetPlan.h"
#include "dataplane/fleet/UpstreamBackoff.h"
#include "dataplane/fleet/UpstreamDirectory.h"
#include "dataplane/fleet/UpstreamHealth.h"
#include "dataplane/fleet/VersionCensus.h"
#include "dataplane/model/Configuration.h"
#include "dataplane/model/RouteIndex.h"
#include "dataplane/model/UpstreamEntry.h"
#include "dataplane/path/UpstreamPath.h"
#include "dataplane/placement/EnginePlacement.h"
#include "dataplane/policy/DecisionSettings.h"
#include "dataplane/retry/RetryAllowance.h"
#include "dataplane/roles/StagePlan.h"
#include "dataplane/usage/UsageLedger.h"
#include "dataplane/waiting/PromptDeferral.h"

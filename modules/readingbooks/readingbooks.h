#pragma once

/**
    Tracks, over all instances, the prompts that engines have not prefilled yet.

    An instance that sees a ninth of the load cannot know which engine is idle. For each engine one
    instance, its owner, tracks the prompts that all instances sent there. An instance that is about
    to place a long prompt queries the owners of the candidate engines. Lost, late or duplicated
    messages and failed owners reduce the accuracy of the estimates, but never fail a request.

    Depends on core, ports, keepers, membership (bounds and encoding of frames), dataplane.
*/

#include "readingbooks/exchange/PrefillExchange.h"
#include "readingbooks/messages/PrefillMessages.h"
#include "readingbooks/tracker/PrefillTracker.h"

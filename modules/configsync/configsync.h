#pragma once

/**
    Brings the settings that operators accepted into force at every instance, and never back.

    Purpose: a few instances of each failure domain watch the platform's store; all others hear
    from peers by comparing digests and pull what they lack. Each knows whether it is current and
    how old its last confirmation is. docs/CONFIGURATION.md says what was weighed and measured.

    Depends on: core, ports, settings, membership.
*/

#include "configsync/ConfigSync.h"
#include "configsync/content/ContentFetcher.h"
#include "configsync/content/ContentStore.h"
#include "configsync/duty/WatchDuty.h"
#include "configsync/freshness/Freshness.h"
#include "configsync/measure/ConfigCluster.h"
#include "configsync/messages/ConfigCodec.h"
#include "configsync/messages/ConfigMessages.h"
#include "configsync/store/HeadWatcher.h"

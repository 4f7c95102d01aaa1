#pragma once

/**
    Puts the settings that operators accepted in force on every instance, and never reverts to older
    ones.

    Purpose: a few instances of each failure domain watch the platform's store; all others detect
    changes by comparing digests with peers and fetch what they lack. Each instance knows whether
    its settings are current and how old the last confirmation is. docs/CONFIGURATION.md describes
    the alternatives and gives figures.

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

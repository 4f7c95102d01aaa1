#pragma once

/**
    What operators' command line does: settings from a directory into the store, keys, instances.

    Purpose: check a tree whole and together with what the store holds, show it as a diff, put it
    in force as one set or not at all, tell conflicts; edit keys; ask and drain instances.

    Depends on: core, ports, settings, identity, runtime, platform, cxxopts.
*/

#include "ctl/commands/CommandLine.h"
#include "ctl/commands/Commands.h"
#include "ctl/settings/KeyEdit.h"
#include "ctl/settings/SettingsRepository.h"

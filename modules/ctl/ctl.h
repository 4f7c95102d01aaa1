#pragma once

/**
    Operators' command line tool: applies settings directories to the store, manages keys, queries
    instances.

    Purpose: validate a settings tree merged with the stored settings, show the difference, apply
    it atomically, report conflicts; add and withdraw keys; query and drain instances.

    Depends on: core, ports, settings, identity, runtime, platform, cxxopts.
*/

#include "ctl/commands/CommandLine.h"
#include "ctl/commands/Commands.h"
#include "ctl/settings/KeyEdit.h"
#include "ctl/settings/SettingsRepository.h"

#pragma once

/**
    The settings tree that operators write: typed values, strict reading, writing, comparing.

    Purpose: a tree is a set of subtrees, each one JSON object and one object in the platform's
    store: "fleet" (failure domains, models, engines, services), "teams/<team>" (customers and
    their limits) and "keys/<team>" (caller keys, hashed). A tree is valid as a whole or refused
    as a whole, with path and reason.

    Depends on: core, nlohmann-json.
*/

#include "settings/diff/SettingsDiff.h"
#include "settings/fields/FieldTables.h"
#include "settings/head/SettingsHead.h"
#include "settings/model/Settings.h"
#include "settings/read/SettingsDirectory.h"
#include "settings/read/SettingsReader.h"
#include "settings/read/StrictJson.h"
#include "settings/write/SettingsWriter.h"

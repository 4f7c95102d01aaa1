#pragma once

#include "settings/model/Settings.h"
#include "settings/read/SettingsReader.h"

namespace cuminrail {

/**
    Writes a tree as the canonical JSON of its subtrees: names sorted, no white space, entries
    that have their default left out. Reading it gives the same settings again.
*/
SettingsSubtrees writeSettings(const Settings &settings);

/** Returns true when two trees say the same, whatever the order of their teams. */
bool isSameSettings(const Settings &left, const Settings &right);

} // namespace cuminrail

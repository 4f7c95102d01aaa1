#pragma once

#include "core/errors/Reason.h"
#include "settings/fields/FieldTables.h"

#include <map>
#include <vector>

namespace cuminrail {

/** A tree's subtrees as they were read, before they are known to fit together. */
struct SettingsParts
{
    FleetSettings fleet;
    std::vector<TeamSettings> teams;
    std::map<TeamId, KeysSubtree> keys;
};

/**
    Checks the tree as one: identifiers, addresses and key hashes are unique, service prefixes do
    not overlap, and each domain, model, customer and team that is named exists.

    Entries that could not be read are empty here and are passed over, since their mistake is
    already in the list.
*/
void checkReferences(const SettingsParts &parts, std::vector<Reason> &mistakes);

} // namespace cuminrail

#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "identity/keys/KeyHash.h"
#include "settings/read/SettingsReader.h"

#include <string>
#include <vector>

namespace cuminrail {

/** A caller key to add; only its hash is stored. */
struct NewKey
{
    TeamId team;
    CustomerId customer;
    std::string label;
    KeyHash hash;
};

/** Adds a key to its team's subtree. Returns false with a reason if any subtree has the hash. */
bool addKey(SettingsSubtrees &subtrees, const NewKey &key, Reason *lastReason);

/** Marks a key as withdrawn in all subtrees. Returns false with a reason if it is not found. */
bool withdrawKey(SettingsSubtrees &subtrees, const KeyHash &hash, Reason *lastReason);

/**
    Returns the hashes of keys that are withdrawn in the older tree and valid in the newer.

    Applying a directory that was checked out before a withdrawal would make the key valid again,
    unnoticed until whoever stole it uses it.
*/
std::vector<std::string> revivedKeys(const SettingsSubtrees &older, const SettingsSubtrees &newer);

/** Returns a new caller key of 256 random bits. */
std::string makeKey(const RandomHook &random);

} // namespace cuminrail

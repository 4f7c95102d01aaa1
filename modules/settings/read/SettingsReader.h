#pragma once

#include "core/errors/Reason.h"
#include "settings/model/Settings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** The JSON text of each subtree: "fleet", "teams/<team>", "keys/<team>". */
using SettingsSubtrees = std::map<std::string, std::string>;

/** A subtree is one object in the platform's store, which holds values up to this size. */
inline constexpr std::size_t kMaxSubtreeBytes = 1024 * 1024;

/** How a caller may name the parts of a subtree's path. */
inline constexpr const char *kFleetSubtree = "fleet";
inline constexpr const char *kTeamsPrefix = "teams/";
inline constexpr const char *kKeysPrefix = "keys/";

/**
    Reads a whole tree, or refuses it whole.

    Every mistake is listed, not just the first, each with its place:
    "teams/north: /customers/2/limits/concurrent_requests". Checked are each entry by its table
    (unknown and missing names, types, ranges) and then the tree as one: every reference leads
    somewhere, and what must be unique is.

    @param mistakes  cleared, then filled; empty when the result has a value
    @see FieldTable, checkReferences
*/
std::optional<Settings> readSettings(const SettingsSubtrees &subtrees,
                                     std::vector<Reason> *mistakes = nullptr);

} // namespace cuminrail

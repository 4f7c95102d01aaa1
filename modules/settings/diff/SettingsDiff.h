#pragma once

#include "core/names/NameTable.h"
#include "settings/read/SettingsReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminrail {

enum class SettingsChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

inline constexpr NameTable<SettingsChangeKind, 3> settingsChangeKindNames{{{
    {SettingsChangeKind::Added, "added"},
    {SettingsChangeKind::Removed, "removed"},
    {SettingsChangeKind::Changed, "changed"},
}}};

/** One entry that differs between two trees. */
struct SettingsChange
{
    SettingsChangeKind kind = SettingsChangeKind::Changed;
    /** "teams/north: /customers/chamber-3/weight"; list elements by their identity. */
    std::string path;
    /** JSON texts; empty where there was or is none. */
    std::string oldValue;
    std::string newValue;
};

/**
    Compares two trees entry by entry, sorted by path.

    List elements are matched by their identity (id, name, key hash, date, method and path), so
    that one inserted engine does not make all later ones look changed. Subtrees must be valid JSON
    texts; one that is not is shown as one value.
*/
std::vector<SettingsChange> diffSettings(const SettingsSubtrees &older,
                                         const SettingsSubtrees &newer);

} // namespace cuminrail

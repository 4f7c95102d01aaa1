#pragma once

#include "core/errors/Reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/** The store's one object that says which settings are in force. */
inline constexpr const char *kSettingsHeadPath = "settings/head";

/** Subtrees are stored below this path, each under the SHA-256 of its text. */
inline constexpr const char *kSettingsContentPrefix = "settings/content/";

/**
    Which content each subtree has, as one consistent set.

    A tree has many subtrees, and the store writes one object at a time. If subtrees were written
    in place, a reader in between would see a team of the new tree with a fleet of the old one, and
    an operator whose second write fails would leave a mixture in force. So contents are written
    first, under names that nobody refers to yet and that never change, and the head is written
    last, under the condition that it is still the one that the new tree was checked against.

    Readers take the subtrees that the head names and no others.
*/
struct SettingsHead
{
    /** Rises by one with every accepted change; readers never go back to a lower one. */
    std::uint64_t generation = 0;
    /** Drawn by the writer, who recognises it when the answer to its write was lost. */
    std::string token;
    /** Subtree name ("fleet", "teams/<team>", "keys/<team>") to SHA-256 in hexadecimal. */
    std::map<std::string, std::string> subtrees;

    /** Returns the JSON text that is stored. */
    std::string toText() const;

    /** Reads the stored text; strict, with a reason for what is wrong. */
    static std::optional<SettingsHead> fromText(const std::string &text,
                                                Reason *lastReason = nullptr);
};

/** Returns the store's path of a content. */
std::string settingsContentPath(const std::string &sha256);

} // namespace cuminrail

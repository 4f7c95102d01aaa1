#pragma once

#include "settings/read/SettingsReader.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** How a directory of settings is looked at; the caller supplies the file system. */
struct DirectoryHooks
{
    /** Names of all regular files below the directory, relative to it: "teams/north.json". */
    std::function<std::optional<std::vector<std::string>>()> listFiles;
    /** The content of one of them, or nothing when it cannot be read. */
    std::function<std::optional<std::string>(const std::string &name)> readFile;
};

/**
    Loads the subtrees of a directory as it is held in version control.

    The file "teams/north.json" is the subtree "teams/north". Files whose name starts with a dot
    or that end in ".md" are passed over; any other file is a mistake, since a misspelt one would
    silently leave its subtree out.
*/
std::optional<SettingsSubtrees> loadSettingsDirectory(const DirectoryHooks &hooks,
                                                      std::vector<Reason> *mistakes = nullptr);

} // namespace cuminrail

#pragma once

#include "settings/read/SettingsReader.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Reads a directory's subtrees as they stand, or lists what is wrong with the files. */
std::optional<SettingsSubtrees> readTreeFiles(const std::string &directory,
                                              std::vector<Reason> *mistakes);

} // namespace cuminrail

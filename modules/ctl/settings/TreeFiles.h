#pragma once

#include "settings/read/SettingsReader.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Reads the subtrees of a directory unchanged, or lists the mistakes found in its files. */
std::optional<SettingsSubtrees> readTreeFiles(const std::string &directory,
                                              std::vector<Reason> *mistakes);

} // namespace cuminrail

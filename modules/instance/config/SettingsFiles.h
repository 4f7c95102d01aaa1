#pragma once

#include "core/errors/Reason.h"
#include "settings/model/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Reads a whole settings tree from a directory, or refuses it whole with every mistake. */
std::optional<Settings> readSettingsFiles(const std::string &directory,
                                          std::vector<Reason> *mistakes);

} // namespace cuminrail

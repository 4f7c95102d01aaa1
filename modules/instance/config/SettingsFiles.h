#pragma once

#include "core/errors/Reason.h"
#include "settings/model/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Reads a settings tree from a directory. If any part is invalid, rejects the whole tree and
    reports all errors. */
std::optional<Settings> readSettingsFiles(const std::string &directory,
                                          std::vector<Reason> *mistakes);

} // namespace cuminrail

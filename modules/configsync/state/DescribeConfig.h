#pragma once

#include "configsync/ConfigSync.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

/** Returns which settings are in force and how current they are, for GET /state. */
nlohmann::json describeConfig(const ConfigSync &config, Millis now);

} // namespace cuminrail

#pragma once

#include "platform/client/PlatformClient.h"
#include "ports/weights/WeightStore.h"

namespace cuminrail {

/** Returns the rate-limited weight store's tickets. */
WeightStore makeHttpWeightStore(PlatformClient &client, const std::string &address);

} // namespace cuminrail

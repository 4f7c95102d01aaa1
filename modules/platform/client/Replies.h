#pragma once

#include "platform/client/PlatformCall.h"
#include "ports/engines/EngineControl.h"
#include "ports/store/ObjectStore.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace cuminrail::detail {

/** Returns an answer's JSON object, or nothing when it is not a whole success with one. */
std::optional<nlohmann::json> successBody(const PlatformAnswer &answer);

/** Returns what an order's answer means for whoever sent it. */
OrderReply toOrderReply(const PlatformAnswer &answer);

/** Returns how a write to the store ended; without a clear answer it may have taken effect. */
StoreReply toWriteReply(const PlatformAnswer &answer);

/** Returns how a read ended; reads have no effect, so a failed one is never in doubt. */
StoreReply toReadReply(const PlatformAnswer &answer);

} // namespace cuminrail::detail

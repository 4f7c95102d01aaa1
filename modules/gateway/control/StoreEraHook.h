#pragma once

#include "ports/store/ObjectStore.h"

#include <functional>

namespace cuminrail {

/** Returns a store that reports the era of each reply before it passes the reply on. */
ObjectStore withEraHook(const ObjectStore &store, const std::function<void(StoreEra)> &onReply);

} // namespace cuminrail

#pragma once

#include "ports/store/ObjectStore.h"

#include <functional>

namespace cuminrail {

/** Returns the store with a hook that learns of reads and writes that failed. */
ObjectStore observed(const ObjectStore &store, const std::function<void()> &onTrouble);

} // namespace cuminrail

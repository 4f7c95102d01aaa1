#pragma once

#include "ports/store/ObjectStore.h"

#include <functional>

namespace cuminrail {

/** Wraps a store so that @c onFailure is called after each read or write that failed. */
ObjectStore withFailureHook(const ObjectStore &store, const std::function<void()> &onFailure);

} // namespace cuminrail

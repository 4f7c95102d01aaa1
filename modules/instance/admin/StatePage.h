#pragma once

#include "instance/request/RequestWorker.h"
#include "instance/serving/ServingContext.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace cuminrail {

/** Returns what the request path holds at the moment. No keys, prompts or answers are in it. */
nlohmann::json statePage(ServingContext &context,
                         const std::vector<std::unique_ptr<RequestWorker>> &workers);

} // namespace cuminrail

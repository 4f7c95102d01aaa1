#pragma once

#include "instance/request/RequestWorker.h"
#include "instance/serving/ServingContext.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace cuminrail {

/** Returns the current state of the request path, without keys, prompts or responses. */
nlohmann::json statePage(ServingContext &context,
                         const std::vector<std::unique_ptr<RequestWorker>> &workers);

} // namespace cuminrail

#pragma once

#include "membership/Membership.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

/** Returns what an operator wants to see of the membership, for GET /state. */
nlohmann::json describeMembership(const Membership &membership);

} // namespace cuminrail

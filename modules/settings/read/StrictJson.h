#pragma once

#include "core/errors/Reason.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace cuminrail {

/**
    Parses JSON without the library's leniency: a name that stands twice in one object, nesting
    deeper than maxDepth, more bytes than maxBytes, invalid UTF-8 and numbers out of range are all
    refused.

    A repeated name would otherwise silently win over the first: an operator reads one value and
    the system obeys the other.
*/
std::optional<nlohmann::json> parseStrictJson(const std::string &text, std::size_t maxBytes,
                                              std::size_t maxDepth, Reason *lastReason = nullptr);

} // namespace cuminrail

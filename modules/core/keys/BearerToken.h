#pragma once

#include "core/errors/Reason.h"

#include <optional>
#include <string_view>

namespace cuminrail {

/** Keys longer than this are refused before they are hashed. */
inline constexpr std::size_t maxKeyLength = 256;

/**
    Returns the key in an Authorization header's value.

    Accepts the scheme "Bearer" in any case and one space or more. Returns nothing, with a reason
    that does not quote the value, for any other scheme, an empty or overlong key, or characters
    outside the visible ASCII range.
*/
std::optional<std::string_view> bearerToken(std::string_view headerValue, Reason *lastReason);

} // namespace cuminrail

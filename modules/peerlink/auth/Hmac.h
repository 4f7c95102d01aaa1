#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cuminrail::detail {

inline constexpr std::size_t kHmacBytes = 32;

/** Returns the HMAC-SHA256 of a text. */
std::string hmac(const std::string &key, const std::string &text);

/** Compares in constant time, independent of where the texts differ. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** Returns cryptographically secure random bytes, for nonces. */
std::string randomBytes(std::size_t count);

} // namespace cuminrail::detail

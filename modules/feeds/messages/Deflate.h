#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace cuminrail {

/** Returns the bytes in the zlib format. */
std::string deflated(const std::string &plain);
/** Returns what was deflated, or nothing for what is no zlib format or has another length. */
std::optional<std::string> inflated(const std::string &packed, std::size_t plainBytes);

} // namespace cuminrail

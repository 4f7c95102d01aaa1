#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace cuminrail {

/** Returns the text compressed in the zlib format. */
std::string deflated(const std::string &plain);
/** Returns the decompressed text, or nothing for invalid zlib data or a text of another length. */
std::optional<std::string> inflated(const std::string &compressed, std::size_t plainBytes);

} // namespace cuminrail

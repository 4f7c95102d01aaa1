#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Returns the paths of all files below a directory, relative to it; nothing if it cannot be read.
 */
std::optional<std::vector<std::string>> filesBelow(const std::string &directory);

/** Returns a file's bytes; nothing if it cannot be read. */
std::optional<std::string> contentOf(const std::string &path);

} // namespace cuminrail

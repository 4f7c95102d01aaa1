#include "runtime/files/Files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminrail {

std::optional<std::vector<std::string>> filesBelow(const std::string &directory)
{
    std::error_code error;
    const std::filesystem::recursive_directory_iterator entries(directory, error);
    if (error)
        return std::nullopt;
    std::vector<std::string> names;
    for (const auto &entry : entries) {
        if (entry.is_regular_file())
            names.push_back(std::filesystem::relative(entry.path(), directory).string());
    }
    return names;
}

std::optional<std::string> contentOf(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace cuminrail

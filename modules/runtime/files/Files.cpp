#include "runtime/files/Files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminrail {

std::optional<std::vector<std::string>> filesBelow(const std::string &directory)
{
    // The overloads that throw would end the process where one line and an exit code are due. Paths
    // are made relative by their text: resolving them asks for the working directory, which may be
    // gone.
    std::error_code error;
    std::filesystem::recursive_directory_iterator entry(directory, error);
    const std::filesystem::recursive_directory_iterator end;
    std::vector<std::string> names;
    while (!error && entry != end) {
        if (entry->is_regular_file(error) && !error)
            names.push_back(entry->path().lexically_relative(directory).string());
        if (!error)
            entry.increment(error);
    }
    if (error)
        return std::nullopt;
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

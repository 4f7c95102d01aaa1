#include "ctl/settings/TreeFiles.h"

#include "settings/read/SettingsDirectory.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminrail {

namespace {

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

} // namespace

std::optional<SettingsSubtrees> readTreeFiles(const std::string &directory,
                                              std::vector<Reason> *mistakes)
{
    DirectoryHooks hooks;
    hooks.listFiles = [&directory] { return filesBelow(directory); };
    hooks.readFile = [&directory](const std::string &name) {
        return contentOf(directory + "/" + name);
    };
    return loadSettingsDirectory(hooks, mistakes);
}

} // namespace cuminrail

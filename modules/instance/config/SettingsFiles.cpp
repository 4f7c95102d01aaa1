#include "instance/config/SettingsFiles.h"

#include "settings/read/SettingsDirectory.h"
#include "settings/read/SettingsReader.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminrail {

namespace {

std::optional<std::vector<std::string>> filesBelow(const std::string &directory)
{
    std::error_code error;
    std::filesystem::recursive_directory_iterator entries(directory, error);
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

std::optional<Settings> readSettingsFiles(const std::string &directory,
                                          std::vector<Reason> *mistakes)
{
    DirectoryHooks hooks;
    hooks.listFiles = [&] { return filesBelow(directory); };
    hooks.readFile = [&](const std::string &name) { return contentOf(directory + "/" + name); };
    const auto subtrees = loadSettingsDirectory(hooks, mistakes);
    if (!subtrees)
        return std::nullopt;
    return readSettings(*subtrees, mistakes);
}

} // namespace cuminrail

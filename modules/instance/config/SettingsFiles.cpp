#include "instance/config/SettingsFiles.h"

#include "runtime/files/Files.h"
#include "settings/read/SettingsDirectory.h"
#include "settings/read/SettingsReader.h"

namespace cuminrail {

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

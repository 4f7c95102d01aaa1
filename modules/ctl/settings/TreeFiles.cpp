#include "ctl/settings/TreeFiles.h"

#include "runtime/files/Files.h"
#include "settings/read/SettingsDirectory.h"

namespace cuminrail {

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

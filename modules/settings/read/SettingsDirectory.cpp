#include "settings/read/SettingsDirectory.h"

#include <string_view>

namespace cuminrail {

namespace {

bool endsWith(std::string_view text, std::string_view ending)
{
    return text.size() >= ending.size() && text.substr(text.size() - ending.size()) == ending;
}

bool isPassedOver(const std::string &name)
{
    const auto slash = name.rfind('/');
    const std::size_t base = slash == std::string::npos ? 0 : slash + 1;
    return name.size() == base || name[base] == '.' || endsWith(name, ".md");
}

} // namespace

std::optional<SettingsSubtrees> loadSettingsDirectory(const DirectoryHooks &hooks,
                                                      std::vector<Reason> *mistakes)
{
    constexpr std::string_view kExtension = ".json";
    std::vector<Reason> found;
    SettingsSubtrees subtrees;
    const auto names = hooks.listFiles();
    if (!names)
        found.push_back(Reason{"", "the directory cannot be read"});
    for (const std::string &name : names.value_or(std::vector<std::string>())) {
        if (isPassedOver(name))
            continue;
        if (!endsWith(name, kExtension)) {
            found.push_back(Reason{name, "is no .json file"});
            continue;
        }
        if (auto text = hooks.readFile(name))
            subtrees[name.substr(0, name.size() - kExtension.size())] = std::move(*text);
        else
            found.push_back(Reason{name, "cannot be read"});
    }
    const bool isComplete = found.empty();
    if (mistakes != nullptr)
        *mistakes = std::move(found);
    if (!isComplete)
        return std::nullopt;
    return subtrees;
}

} // namespace cuminrail

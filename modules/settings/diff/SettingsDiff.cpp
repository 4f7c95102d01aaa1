#include "settings/diff/SettingsDiff.h"

#include <nlohmann/json.hpp>

#include <map>

namespace cuminrail {

namespace {

using Json = nlohmann::json;
using Leaves = std::map<std::string, std::string>;

std::string textEntry(const Json &element, const char *name)
{
    const auto found = element.find(name);
    return found != element.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** Returns what tells an element of a list from the others, or its place in the list. */
std::string elementName(const Json &element, std::size_t index)
{
    for (const char *name : {"id", "name", "sha256", "date"}) {
        std::string text = textEntry(element, name);
        if (!text.empty())
            return text;
    }
    const std::string method = textEntry(element, "method");
    if (!method.empty())
        return method + " " + textEntry(element, "path");
    return std::to_string(index);
}

bool isListOfObjects(const Json &value)
{
    return value.is_array() && !value.empty() && value.front().is_object();
}

void addLeaves(const Json &value, const std::string &path, Leaves &leaves)
{
    if (value.is_object()) {
        for (const auto &entry : value.items())
            addLeaves(entry.value(), path + "/" + entry.key(), leaves);
        return;
    }
    if (isListOfObjects(value)) {
        for (std::size_t i = 0; i < value.size(); ++i)
            addLeaves(value[i], path + "/" + elementName(value[i], i), leaves);
        return;
    }
    leaves[path] = value.dump();
}

Leaves leavesOf(const SettingsSubtrees &subtrees)
{
    Leaves leaves;
    for (const auto &subtree : subtrees) {
        const Json value = Json::parse(subtree.second, nullptr, false);
        if (value.is_discarded())
            leaves[subtree.first + ": "] = subtree.second;
        else
            addLeaves(value, subtree.first + ": ", leaves);
    }
    return leaves;
}

} // namespace

std::vector<SettingsChange> diffSettings(const SettingsSubtrees &older,
                                         const SettingsSubtrees &newer)
{
    const Leaves before = leavesOf(older);
    const Leaves after = leavesOf(newer);
    std::map<std::string, SettingsChange> changes;
    for (const auto &leaf : before) {
        const auto now = after.find(leaf.first);
        if (now == after.end())
            changes[leaf.first] =
                SettingsChange{SettingsChangeKind::Removed, leaf.first, leaf.second, ""};
        else if (now->second != leaf.second)
            changes[leaf.first] =
                SettingsChange{SettingsChangeKind::Changed, leaf.first, leaf.second, now->second};
    }
    for (const auto &leaf : after) {
        if (before.count(leaf.first) == 0)
            changes[leaf.first] =
                SettingsChange{SettingsChangeKind::Added, leaf.first, "", leaf.second};
    }
    std::vector<SettingsChange> result;
    result.reserve(changes.size());
    for (auto &change : changes)
        result.push_back(std::move(change.second));
    return result;
}

} // namespace cuminrail

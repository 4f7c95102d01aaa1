#include "settings/read/SettingsReader.h"

#include "settings/fields/FieldTables.h"
#include "settings/fields/TextChecks.h"
#include "settings/read/ReferenceChecks.h"
#include "settings/read/StrictJson.h"

#include <string_view>

namespace cuminrail {

namespace {

constexpr std::size_t kMaxDepth = 12;

/** Returns the part of a path after a prefix, or nothing when it has another one. */
std::optional<std::string> afterPrefix(const std::string &path, std::string_view prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

template<typename T>
void readSubtree(const std::string &path, const std::string &text, T &target,
                 std::vector<Reason> &mistakes)
{
    Reason problem;
    const auto value = parseStrictJson(text, kMaxSubtreeBytes, kMaxDepth, &problem);
    if (!value) {
        mistakes.push_back(Reason{path + ": /", problem.what});
        return;
    }
    FieldProblems problems(path, mistakes);
    readFields(*value, "", target, problems);
}

TeamSettings readTeam(const std::string &path, const std::string &text, const TeamId &id,
                      std::vector<Reason> &mistakes)
{
    TeamSettings team;
    readSubtree(path, text, team, mistakes);
    team.id = id;
    for (CustomerSettings &customer : team.customers)
        customer.team = id;
    return team;
}

void readOne(const std::string &path, const std::string &text, SettingsParts &parts,
             std::vector<Reason> &mistakes)
{
    if (path == kFleetSubtree)
        return readSubtree(path, text, parts.fleet, mistakes);
    const auto teamName = afterPrefix(path, kTeamsPrefix);
    const auto keysName = afterPrefix(path, kKeysPrefix);
    const auto name = teamName ? teamName : keysName;
    if (!name) {
        mistakes.push_back(
            Reason{path, "unknown subtree; there are \"fleet\", \"teams/…\", \"keys/…\""});
        return;
    }
    if (const auto problem = detail::checkIdentifier(*name)) {
        mistakes.push_back(Reason{path, "the team's name " + *problem});
        return;
    }
    const TeamId team(*name);
    if (teamName) {
        parts.teams.push_back(readTeam(path, text, team, mistakes));
        return;
    }
    readSubtree(path, text, parts.keys[team], mistakes);
}

Settings join(SettingsParts parts)
{
    Settings settings;
    settings.fleet = std::move(parts.fleet);
    settings.teams = std::move(parts.teams);
    for (auto &entry : parts.keys) {
        for (CallerKeySettings &key : entry.second.keys)
            settings.keys.push_back(std::move(key));
    }
    return settings;
}

} // namespace

std::optional<Settings> readSettings(const SettingsSubtrees &subtrees,
                                     std::vector<Reason> *mistakes)
{
    std::vector<Reason> found;
    SettingsParts parts;
    if (subtrees.count(kFleetSubtree) == 0)
        found.push_back(Reason{kFleetSubtree, "the subtree is missing"});
    for (const auto &subtree : subtrees)
        readOne(subtree.first, subtree.second, parts, found);
    checkReferences(parts, found);
    const bool isValid = found.empty();
    if (mistakes != nullptr)
        *mistakes = std::move(found);
    if (!isValid)
        return std::nullopt;
    return join(std::move(parts));
}

} // namespace cuminrail

#include "settings/write/SettingsWriter.h"

#include "settings/fields/FieldTables.h"

#include <map>

namespace cuminrail {

namespace {

std::map<TeamId, KeysSubtree> keysByTeam(const Settings &settings)
{
    std::map<CustomerId, TeamId> teamOf;
    for (const TeamSettings &team : settings.teams) {
        for (const CustomerSettings &customer : team.customers)
            teamOf.emplace(customer.id, team.id);
    }
    std::map<TeamId, KeysSubtree> result;
    for (const CallerKeySettings &key : settings.keys)
        result[teamOf[key.customer]].keys.push_back(key);
    return result;
}

} // namespace

SettingsSubtrees writeSettings(const Settings &settings)
{
    SettingsSubtrees subtrees;
    subtrees[kFleetSubtree] = writeFields(settings.fleet).dump();
    for (const TeamSettings &team : settings.teams)
        subtrees[kTeamsPrefix + team.id.text()] = writeFields(team).dump();
    for (const auto &entry : keysByTeam(settings))
        subtrees[kKeysPrefix + entry.first.text()] = writeFields(entry.second).dump();
    return subtrees;
}

bool isSameSettings(const Settings &left, const Settings &right)
{
    return writeSettings(left) == writeSettings(right);
}

} // namespace cuminrail

#pragma once

#include "settings/fields/Field.h"
#include "settings/model/Settings.h"

#include <string>
#include <vector>

namespace cuminrail {

/** What stands in a subtree "keys/<team>". */
struct KeysSubtree
{
    std::vector<CallerKeySettings> keys;
};

// The tables of all settings types. Each entry of the tree stands in exactly one of them.
template<>
const std::vector<Field<FleetSettings>> &FieldTable<FleetSettings>::fields();
template<>
const std::vector<Field<FailureDomainSettings>> &FieldTable<FailureDomainSettings>::fields();
template<>
const std::vector<Field<ModelSettings>> &FieldTable<ModelSettings>::fields();
template<>
const std::vector<Field<EngineSettings>> &FieldTable<EngineSettings>::fields();
template<>
const std::vector<Field<ServiceSettings>> &FieldTable<ServiceSettings>::fields();
template<>
const std::vector<Field<ServiceUpstreamSettings>> &FieldTable<ServiceUpstreamSettings>::fields();
template<>
const std::vector<Field<ServiceCallSettings>> &FieldTable<ServiceCallSettings>::fields();
template<>
const std::vector<Field<TeamSettings>> &FieldTable<TeamSettings>::fields();
template<>
const std::vector<Field<TeamSettings::ExpectedDay>> &
FieldTable<TeamSettings::ExpectedDay>::fields();
template<>
const std::vector<Field<CustomerSettings>> &FieldTable<CustomerSettings>::fields();
template<>
const std::vector<Field<CustomerLimits>> &FieldTable<CustomerLimits>::fields();
template<>
const std::vector<Field<KeysSubtree>> &FieldTable<KeysSubtree>::fields();
template<>
const std::vector<Field<CallerKeySettings>> &FieldTable<CallerKeySettings>::fields();

/** Returns the page's rows for the whole tree, in the order of docs/SETTINGS.md. */
std::vector<SettingsPageRow> settingsPageRows();

/** Returns one row as it stands in docs/SETTINGS.md. */
std::string toMarkdown(const SettingsPageRow &row);

} // namespace cuminrail

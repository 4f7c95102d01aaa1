#pragma once

#include "admission/AdmissionTypes.h"
#include "settings/model/Settings.h"

namespace cuminrail {

/**
    Returns the part of the settings that admission depends on.

    @param customers  indexes of customers by id, shared with routing
    @param pools      indexes of pools: models by "model:<id>", services by "service:<name>"
*/
AdmissionSettings buildAdmissionSettings(const Settings &settings,
                                         IndexRegistry<CustomerId> &customers,
                                         IndexRegistry<std::string> &pools);

} // namespace cuminrail

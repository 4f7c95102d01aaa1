#pragma once

#include "admission/AdmissionTypes.h"
#include "settings/model/Settings.h"

namespace cuminrail {

/**
    Returns what admission reads of the settings.

    @param customers  numbers of customers by id; the ones that routing uses
    @param pools      numbers of pools: models by "model:<id>", services by "service:<name>"
*/
AdmissionSettings buildAdmissionSettings(const Settings &settings,
                                         IndexRegistry<CustomerId> &customers,
                                         IndexRegistry<std::string> &pools);

} // namespace cuminrail

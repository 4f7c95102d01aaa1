#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"

#include <string>

namespace cuminrail {

/**
    Indexes of all names that routing and admission use.

    One per process, owned by the control thread, and never rebuilt: indexes stay the same across
    versions of the settings.

    @see buildRoutingTable, buildAdmissionSettings
*/
struct StableIndexes
{
    IndexRegistry<UpstreamId> upstreams;
    IndexRegistry<CustomerId> customers;
    IndexRegistry<TeamId> teams;
    IndexRegistry<FailureDomainId> domains;
    IndexRegistry<std::string> adapters;
    /** Keys are "model:<id>" for models and "service:<name>" for services. */
    IndexRegistry<std::string> pools;
};

/** Returns the name of a model's pool in StableIndexes::pools. */
inline std::string modelPoolName(const ModelId &model)
{
    return "model:" + model.text();
}

/** Returns the name of a service's pool in StableIndexes::pools. */
inline std::string servicePoolName(const std::string &service)
{
    return "service:" + service;
}

} // namespace cuminrail

#pragma once

#include "identity/keys/KeyRing.h"
#include "routing/table/RoutingTable.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

/** Limits on the size of a request for one model. */
struct ModelRules
{
    std::uint32_t maxPromptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
};

/**
    All settings and membership data that request threads read, immutable and published through
    one pointer.

    A request thread reads keys and routes from the same snapshot. A key is therefore never
    matched against one version and the permissions of its customer against another.
*/
struct ServingSnapshot
{
    /** Increases with each snapshot that this process publishes. */
    std::uint64_t generation = 0;
    RoutingTable routing;
    KeyRing keys;
    /** Indexed by PoolIndex; zeros for plain services. */
    std::vector<ModelRules> models;
    /** Indexed by TeamIndex. */
    std::vector<TeamId> teams;
    /** The failure domain of this instance, or noIndex if it is not in the settings. */
    DomainIndex ownDomain = noIndex;
};

} // namespace cuminrail

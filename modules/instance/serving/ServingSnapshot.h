#pragma once

#include "identity/keys/KeyRing.h"
#include "routing/table/RoutingTable.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

/** What a request's size may be, for one model. */
struct ModelRules
{
    std::uint32_t maxPromptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
};

/**
    Everything that request threads read of settings and membership: immutable, and one pointer.

    A request thread reads keys and routes from the same snapshot, so that a key is never matched
    against one version and its customer's rights against another.
*/
struct ServingSnapshot
{
    /** Rises with each snapshot that this process publishes. */
    std::uint64_t generation = 0;
    RoutingTable routing;
    KeyRing keys;
    /** By PoolIndex; zeros for plain services. */
    std::vector<ModelRules> models;
    /** By TeamIndex. */
    std::vector<TeamId> teams;
    /** The failure domain of this instance, or noIndex if settings do not know it. */
    DomainIndex ownDomain = noIndex;
};

} // namespace cuminrail

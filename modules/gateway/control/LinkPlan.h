#pragma once

#include "gateway/control/InstanceGroup.h"
#include "keepers/ranking/OwnerRanking.h"

#include <vector>

namespace cuminrail {

/**
    The links that an instance keeps open.

    Load: any number of instances, of which a part owns state for all. While they are few, each has
    a link to each owner. In a larger system each has links to the relays of its group, and relays
   to all owners: with n instances in groups of g, of which r in each are relays, and k owners, an
    instance has r links, a relay g + k and an owner n / g * r.
*/
struct LinkPlan
{
    std::vector<PeerAddress> maintained;
    /** Instances through which owners without a link are reached; none in a small system. */
    std::vector<PeerAddress> relays;

    /** @param all  all instances, this one first */
    static LinkPlan of(const std::vector<OwnerCandidate> &all, const InstanceGroup &group);
};

} // namespace cuminrail

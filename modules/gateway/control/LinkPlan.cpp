#include "gateway/control/LinkPlan.h"

#include <algorithm>

namespace cuminrail {

LinkPlan LinkPlan::of(const std::vector<OwnerCandidate> &all, const InstanceGroup &group)
{
    OwnerRanking owners;
    owners.setPeers(all);
    if (!group.isPartOf(all.size()))
        return {owners.addresses(), {}};
    OwnerRanking relays;
    relays.setPeers(group.members, InstanceGroup::leastRelays);
    LinkPlan plan{relays.addresses(), relays.addresses()};
    if (!relays.isOwner())
        return plan;
    for (const PeerAddress &owner : owners.addresses()) {
        if (std::find(plan.relays.begin(), plan.relays.end(), owner) == plan.relays.end())
            plan.maintained.push_back(owner);
    }
    return plan;
}

} // namespace cuminrail

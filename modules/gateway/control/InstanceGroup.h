#pragma once

#include "core/ids/Ids.h"
#include "gateway/control/InstanceRegistry.h"
#include "keepers/ranking/OwnerRanking.h"

#include <string>
#include <vector>

namespace cuminrail {

/**
    The instances that share work with one another: those of a failure domain, a part of a large
    one, or those of all small ones together.

    Load: any number of instances, each with links to the few that act for its group. Groups of
    bounded size bound the links, messages and memory of each instance, whatever the number of all.
*/
struct InstanceGroup
{
    /**
        Smallest number of instances for which some act on behalf of the others. With fewer
        instances, the saved calls are not worth the messages between them.
    */
    static constexpr std::size_t minSharedSize = 8;
    /** The same where the group has several failure domains: traffic between them costs more. */
    static constexpr std::size_t minMergedSize = 12;
    /** Average size of the parts of a large failure domain, at most. */
    static constexpr std::size_t maxSize = 256;
    /** Number of members that relay frames for the others, at least. */
    static constexpr std::size_t leastRelays = 8;

    /** False if every instance watches the store and writes its ledger itself. */
    bool isShared = false;
    /** Link addresses of the instances that watch the store, in takeover order. */
    std::vector<PeerAddress> watchOrder;
    /** Link addresses of the instances that collect usage ledgers, in the order to try them. */
    std::vector<PeerAddress> collectors;
    /** The members, this instance first. */
    std::vector<OwnerCandidate> members;

    /** Whether the group is a part of a system of so many instances that is too large for one. */
    bool isPartOf(std::size_t instances) const { return isShared && instances > maxSize; }

    /** Computes the group of @c self, whose own address is empty in all lists. */
    static InstanceGroup of(const std::vector<RegisteredInstance> &instances,
                            const RegisteredInstance &self);
};

} // namespace cuminrail

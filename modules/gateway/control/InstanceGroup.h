#pragma once

#include "core/ids/Ids.h"
#include "gateway/control/InstanceRegistry.h"

#include <string>
#include <vector>

namespace cuminrail {

/** The instances of a failure domain that act on behalf of the others there. */
struct InstanceGroup
{
    /**
        Smallest number of instances in a failure domain for which some act on behalf of the others.
        With fewer instances, the saved calls are not worth the messages between them.
    */
    static constexpr std::size_t minSharedSize = 8;

    /** False if every instance watches the store and writes its ledger itself. */
    bool isShared = false;
    /** Link addresses of the instances that watch the store, in takeover order. */
    std::vector<PeerAddress> watchOrder;
    /** Link addresses of the instances that collect usage ledgers, in the order to try them. */
    std::vector<PeerAddress> collectors;

    /** Computes the group of @c self, whose own address is empty in both lists. */
    static InstanceGroup of(const std::vector<RegisteredInstance> &instances,
                            const RegisteredInstance &self);
};

} // namespace cuminrail

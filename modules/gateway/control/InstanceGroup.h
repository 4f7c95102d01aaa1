#pragma once

#include "core/ids/Ids.h"
#include "gateway/control/InstanceRegistry.h"

#include <string>
#include <vector>

namespace cuminrail {

/** Which instances of a failure domain do something for the others there. */
struct InstanceGroup
{
    /**
        From how many instances of a failure domain on some act for the others. Fewer make fewer
        calls by themselves than the messages between them are worth.
    */
    static constexpr std::size_t leastShared = 8;

    /** False where each instance does everything for itself. */
    bool isShared = false;
    /** Links of those that watch the store, in the order in which they take over. */
    std::vector<PeerAddress> watchOrder;
    /** Links of those that collect usage ledgers, in the order in which they are tried. */
    std::vector<PeerAddress> collectors;

    /** The address of @c self is empty in both orders. */
    static InstanceGroup of(const std::vector<RegisteredInstance> &instances,
                            const RegisteredInstance &self);
};

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <vector>

namespace cuminrail {

/**
    Which members an instance probes: those 1, 2, 4, 8, … places after it on a ring ordered by the
    hash of their names.

    Every member has as many that probe it as it probes itself, the logarithm of the number of
    members; with neighbours drawn at random some would have none. Links of doubling length make
    any member reachable from any other in a logarithm of hops, so that news floods fast. A hash
    order mixes failure domains, so that a domain that falls silent leaves every survivor with
    other neighbours.
*/
class NeighbourRing
{
public:
    /** Rebuilds the ring from the members that are not dead; self may be among them or not. */
    void rebuild(const InstanceId &self, const std::vector<InstanceId> &members);

    /** Returns the neighbours, nearest first, each once, without self. */
    const std::vector<InstanceId> &neighbours() const { return neighbours_; }

    /** Returns the members that have this instance as a neighbour: where news also goes. */
    const std::vector<InstanceId> &watchers() const { return watchers_; }

private:
    std::vector<InstanceId> neighbours_;
    std::vector<InstanceId> watchers_;
};

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <vector>

namespace cuminrail {

/**
    Selects the members that an instance probes: those at distances 1, 2, 4, 8, … after it on a ring
    ordered by the hash of their names.

    Every member is probed by as many members as it probes itself, the logarithm of the number of
    members; with randomly drawn neighbours some would be probed by none. Because the distances
    double, every member reaches any other in a logarithmic number of hops, so that updates
    propagate fast. Ordering by hash mixes failure domains, so that the survivors of a lost domain
    still have neighbours in others.
*/
class NeighbourRing
{
public:
    /** Rebuilds the ring from the members that are not dead; self may be among them. */
    void rebuild(const InstanceId &self, const std::vector<InstanceId> &members);

    /** Returns the neighbours, nearest first, without duplicates and without self. */
    const std::vector<InstanceId> &neighbours() const { return neighbours_; }

    /**
        Returns the members that have this instance as a neighbour; urgent updates are sent to them
        too.
    */
    const std::vector<InstanceId> &reverseNeighbours() const { return reverseNeighbours_; }

private:
    std::vector<InstanceId> neighbours_;
    std::vector<InstanceId> reverseNeighbours_;
};

} // namespace cuminrail

#include "membership/ring/NeighbourRing.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cuminrail {

namespace {

using RingPosition = std::pair<std::uint64_t, InstanceId>;

RingPosition positionOf(const InstanceId &id)
{
    return {StableHash().add(id.text()).value(), id};
}

void addOnce(std::vector<InstanceId> &list, const InstanceId &id, const InstanceId &self)
{
    if (id != self && std::find(list.begin(), list.end(), id) == list.end())
        list.push_back(id);
}

} // namespace

void NeighbourRing::rebuild(const InstanceId &self, const std::vector<InstanceId> &members)
{
    std::vector<RingPosition> ring;
    ring.reserve(members.size() + 1);
    for (const InstanceId &member : members)
        ring.push_back(positionOf(member));
    ring.push_back(positionOf(self));
    std::sort(ring.begin(), ring.end());
    ring.erase(std::unique(ring.begin(), ring.end()), ring.end());

    neighbours_.clear();
    reverseNeighbours_.clear();
    const std::size_t size = ring.size();
    const auto own = std::lower_bound(ring.begin(), ring.end(), positionOf(self));
    const auto position = static_cast<std::size_t>(own - ring.begin());
    for (std::size_t distance = 1; distance < size; distance *= 2) {
        addOnce(neighbours_, ring[(position + distance) % size].second, self);
        addOnce(reverseNeighbours_, ring[(position + size - distance) % size].second, self);
    }
}

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Spreads duties over instances without any of them asking another.

    Each duty orders the live instances by a hash of both names (rendezvous hashing), so that an
    instance that comes or goes moves only its own share.
*/
class DutySpread
{
public:
    /** Returns an instance's place among the first @c limit for a duty, 0 being the first. */
    static std::optional<std::size_t> rank(const std::string &duty, const InstanceId &instance,
                                           const std::vector<InstanceId> &live, std::size_t limit);

    /** Returns the live instances in the order in which they take a duty. */
    static std::vector<InstanceId> order(const std::string &duty, std::vector<InstanceId> live);

    /** Returns how many duties one of @c instances may hold: a fair share and one. */
    static std::size_t bound(std::size_t duties, std::size_t instances);
};

} // namespace cuminrail

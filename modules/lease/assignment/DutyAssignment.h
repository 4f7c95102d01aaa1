#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Assigns duties to instances without coordination.

    Each duty orders the live instances by a hash of both names (rendezvous hashing), so that an
    instance that joins or leaves moves only its own share.
*/
class DutyAssignment
{
public:
    /** Returns the rank of an instance for a duty among the first @c limit, 0 being the first. */
    static std::optional<std::size_t> rank(const std::string &duty, const InstanceId &instance,
                                           const std::vector<InstanceId> &live, std::size_t limit);

    /** Returns the live instances in the order in which they acquire a duty. */
    static std::vector<InstanceId> order(const std::string &duty, std::vector<InstanceId> live);

    /** Returns how many duties one of @c instances may hold: its fair share plus one. */
    static std::size_t maxDuties(std::size_t duties, std::size_t instances);
};

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"
#include "membership/model/Member.h"

#include <vector>

namespace cuminrail {

/**
    Returns the instance that polls this engine.

    Rendezvous hashing: the instance with the highest hash of both names, among the usable members
    in the engine's failure domain, or among all usable members if there is none. All instances
    compute the same result without exchanging messages, and if a member leaves, only its own
    engines are reassigned. While views differ, two instances may poll the same engine, which only
    costs a call; therefore no lease is needed.

    @param members  all members, including this instance
*/
InstanceId pollerOf(const UpstreamId &engine, const FailureDomainId &domain,
                    const std::vector<MemberRecord> &members);

} // namespace cuminrail

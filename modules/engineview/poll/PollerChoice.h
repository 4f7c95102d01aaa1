#pragma once

#include "core/ids/Ids.h"
#include "membership/model/Member.h"

#include <vector>

namespace cuminrail {

/**
    Returns the instance that asks this engine for its state.

    Chosen among usable members in the engine's failure domain, or among all of them when there is
    none, by the highest hash of both names. Every instance comes to the same answer without a
    message, and a member that goes takes only its own engines with it. Two that differ for a
    moment both ask, which costs a call and harms nothing, so no lease is needed.

    @param members  all members, this instance included
*/
InstanceId pollerOf(const UpstreamId &engine, const FailureDomainId &domain,
                    const std::vector<MemberRecord> &members);

} // namespace cuminrail

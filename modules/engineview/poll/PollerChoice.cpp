#include "engineview/poll/PollerChoice.h"

#include "core/hash/StableHash.h"

#include <cstdint>

namespace cuminrail {

namespace {

std::uint64_t hashOf(const UpstreamId &engine, const InstanceId &instance)
{
    return StableHash().add(engine.text()).add(instance.text()).value();
}

} // namespace

InstanceId pollerOf(const UpstreamId &engine, const FailureDomainId &domain,
                    const std::vector<MemberRecord> &members)
{
    const MemberRecord *best = nullptr;
    std::uint64_t bestHash = 0;
    bool bestIsLocal = false;
    for (const MemberRecord &member : members) {
        const bool isLocal = member.domain == domain;
        if (bestIsLocal && !isLocal)
            continue;
        const std::uint64_t memberHash = hashOf(engine, member.id);
        const bool isFirstLocal = isLocal && !bestIsLocal;
        if (best == nullptr || isFirstLocal || memberHash > bestHash) {
            best = &member;
            bestHash = memberHash;
            bestIsLocal = isLocal;
        }
    }
    return best == nullptr ? InstanceId() : best->id;
}

} // namespace cuminrail

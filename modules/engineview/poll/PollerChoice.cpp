#include "engineview/poll/PollerChoice.h"

#include "core/hash/StableHash.h"

#include <cstdint>

namespace cuminrail {

namespace {

std::uint64_t rank(const UpstreamId &engine, const InstanceId &instance)
{
    return StableHash().add(engine.text()).add(instance.text()).value();
}

} // namespace

InstanceId pollerOf(const UpstreamId &engine, const FailureDomainId &domain,
                    const std::vector<MemberRecord> &members)
{
    const MemberRecord *best = nullptr;
    std::uint64_t bestRank = 0;
    bool bestIsNear = false;
    for (const MemberRecord &member : members) {
        const bool isNear = member.domain == domain;
        if (bestIsNear && !isNear)
            continue;
        const std::uint64_t memberRank = rank(engine, member.id);
        const bool isNearer = isNear && !bestIsNear;
        if (best == nullptr || isNearer || memberRank > bestRank) {
            best = &member;
            bestRank = memberRank;
            bestIsNear = isNear;
        }
    }
    return best == nullptr ? InstanceId() : best->id;
}

} // namespace cuminrail

#include "configsync/duty/WatchDuty.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

void WatchDuty::setMembers(const std::vector<MemberView> &members)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> order;
    const auto add = [&](const InstanceId &id) {
        order.emplace_back(StableHash().add("watch").add(id.text()).value(), id);
    };
    add(self_.id);
    for (const MemberView &member : members) {
        if (member.record.domain == self_.domain && member.isUsable())
            add(member.record.id);
    }
    std::sort(order.begin(), order.end());
    watchers_.clear();
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (order[i].second == self_.id)
            rank_ = i;
        else if (i < config_.watchersPerDomain)
            watchers_.push_back(order[i].second);
    }
}

bool WatchDuty::isOnDuty(Millis now, Millis confirmedAge, bool isLeaving)
{
    if (isLeaving)
        return false;
    if (rank_ < config_.watchersPerDomain)
        return true;
    const std::size_t substituteIndex = rank_ - config_.watchersPerDomain;
    if (substituteIndex >= config_.substitutesPerDomain)
        return false;
    const Millis requiredAge = config_.substituteAge
        + config_.substituteAgeStep * static_cast<std::int64_t>(substituteIndex);
    if (confirmedAge > requiredAge)
        substituteTermEnd_ = now + config_.substituteTerm;
    return substituteTermEnd_ && now < *substituteTermEnd_;
}

} // namespace cuminrail

#include "membership/detector/DeadDeclarationLimit.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cstddef>

namespace cuminrail {

bool DeadDeclarationLimit::mayDeclareDead(const MemberTable &table, const MemberRecord &self,
                                          const RegionId &region, Millis now) const
{
    if (!guardEnabled(Guard::SilenceBounded))
        return true;
    std::size_t known = self.region == region ? 1 : 0;
    std::size_t unresponsive = 0;
    for (const auto &item : table.entries()) {
        const MemberEntry &entry = item.second;
        if (entry.record.region != region || entry.record.leaving)
            continue;
        const bool isDead = entry.record.status == MemberStatus::Dead;
        if (isDead && entry.deadAt + window_ <= now)
            continue;
        ++known;
        if (entry.record.status != MemberStatus::Alive)
            ++unresponsive;
    }
    const auto limit = static_cast<std::size_t>(maxShare_ * static_cast<double>(known));
    return unresponsive <= std::max<std::size_t>(1, limit);
}

} // namespace cuminrail

#include "dataplane/fleet/FleetPlan.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

DomainTarget FleetPlan::decide(const ScaleBounds &bounds, const DomainFleet &now,
                               const DomainSupply &supply)
{
    const std::uint32_t most = std::max(1U, bounds.most);
    const auto share = std::lround(static_cast<double>(most) * settings_.keptShare);
    const std::uint32_t kept =
        std::clamp(static_cast<std::uint32_t>(share), std::max(1U, bounds.least), most);
    hasReclaimable_ = hasReclaimable_ || now.reclaimable >= kept || supply.isIdle;
    const bool isDenied = supply.deniedFor > settings_.denialBorne;
    if (isDenied && now.reclaimable < kept) {
        const auto substitutes = std::lround(static_cast<double>(most) * settings_.substituteShare);
        const auto regular = std::max(kept, static_cast<std::uint32_t>(substitutes));
        return DomainTarget{regular, most - regular};
    }
    DomainTarget target;
    target.regular = hasReclaimable_ ? kept : std::max(kept, std::min(now.regular, most));
    const std::uint32_t standing = supply.isIdle ? kept : std::max(now.regular, target.regular);
    target.reclaimable = most - std::min(most, standing);
    return target;
}

} // namespace cuminrail

#include "dataplane/fleet/FleetPlan.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

DomainTarget FleetPlan::decide(const ScaleBounds &bounds, const DomainFleet &now,
                               const DomainSupply &supply) const
{
    const auto used = std::lround(static_cast<double>(bounds.most) * settings_.usedShare);
    const std::uint32_t most = std::max({1U, bounds.least, static_cast<std::uint32_t>(used)});
    const auto share = std::lround(static_cast<double>(most) * settings_.keptShare);
    const std::uint32_t kept =
        std::clamp(static_cast<std::uint32_t>(share), std::max(1U, bounds.least), most);
    const bool hasReclaimable = now.reclaimable >= kept || supply.isIdle;
    const auto half = static_cast<std::uint32_t>(
        std::lround(static_cast<double>(most) * settings_.substituteShare));
    const std::uint32_t substitutes = std::max(kept, half);
    const bool isDenied = supply.deniedFor > settings_.denialBorne && now.reclaimable < kept;
    const bool isStoodIn = supply.deniedAgo && *supply.deniedAgo < settings_.substitutesStay
        && now.regular >= substitutes && substitutes > kept;
    if (isDenied || isStoodIn)
        return DomainTarget{substitutes, most - substitutes};
    DomainTarget target;
    target.regular = hasReclaimable ? kept : std::max(kept, std::min(now.regular, most));
    const std::uint32_t standing = supply.isIdle ? kept : std::max(now.regular, target.regular);
    target.reclaimable = most - std::min(most, standing);
    return target;
}

} // namespace cuminrail

#include "dataplane/fleet/FleetPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminrail {

DomainTarget FleetPlan::decide(const ScaleBounds &bounds, const DomainFleet &listed,
                               const DomainSupply &supply) const
{
    const auto usedCount = std::lround(static_cast<double>(bounds.most) * settings_.usedShare);
    const std::uint32_t wanted =
        std::min(static_cast<std::uint32_t>(usedCount),
                 supply.usable.value_or(std::numeric_limits<std::uint32_t>::max()));
    const std::uint32_t most = std::max({1U, bounds.least, wanted});
    const auto keptCount = std::lround(static_cast<double>(most) * settings_.keptShare);
    const std::uint32_t kept =
        std::clamp(static_cast<std::uint32_t>(keptCount), std::max(1U, bounds.least), most);
    const bool hasReclaimable = listed.reclaimable >= kept || supply.isIdle;
    const auto substituteCount = static_cast<std::uint32_t>(
        std::lround(static_cast<double>(most) * settings_.substituteShare));
    const std::uint32_t substitutes = std::max(kept, substituteCount);
    const bool isDenied =
        supply.denialDuration > settings_.denialBorne && listed.reclaimable < kept;
    const bool hasSubstitutes = supply.timeSinceDenial
        && *supply.timeSinceDenial < settings_.substitutesStay && listed.regular >= substitutes
        && substitutes > kept;
    if (isDenied || hasSubstitutes)
        return DomainTarget{substitutes, most - substitutes};
    DomainTarget target;
    target.regular = hasReclaimable ? kept : std::max(kept, std::min(listed.regular, most));
    const std::uint32_t regularCount =
        supply.isIdle ? kept : std::max(listed.regular, target.regular);
    target.reclaimable = most - std::min(most, regularCount);
    return target;
}

} // namespace cuminrail

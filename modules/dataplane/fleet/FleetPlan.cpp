#include "dataplane/fleet/FleetPlan.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

DomainTarget FleetPlan::decide(const ScaleBounds &bounds, const DomainFleet &now)
{
    const std::uint32_t most = std::max(1U, bounds.most);
    const auto share = std::lround(static_cast<double>(most) * settings_.keptShare);
    const std::uint32_t kept =
        std::clamp(static_cast<std::uint32_t>(share), std::max(1U, bounds.least), most);
    hasReclaimable_ = hasReclaimable_ || now.reclaimable >= kept;
    DomainTarget target;
    target.regular = hasReclaimable_ ? kept : std::max(kept, std::min(now.regular, most));
    target.reclaimable = most - std::min(most, std::max(now.regular, target.regular));
    return target;
}

} // namespace cuminrail

#include "capacity/fleet/FleetPlanner.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

std::uint32_t roundedUp(double count)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, count) - 1e-9));
}

} // namespace

std::uint32_t FleetPlanner::wanted(const FleetInput &input, CostClass costClass) const
{
    const auto domains = static_cast<double>(std::max<std::size_t>(input.domains.size(), 1));
    const FleetDemand &demand = input.demand;
    const double all = demand.engines * demand.expectedFactor / timing_.utilisation;
    const double redoable = std::clamp(demand.redoableShare, 0.0, 1.0);
    const double cannotWait = all * (1 - redoable);
    // Whatever is reclaimable can vanish with its zone, and a failure domain can be lost with all
    // it has. What is left then must carry what cannot wait, or survivors go down in turn.
    const double survivors = std::max(1.0, domains - 1);
    const std::uint32_t regular = std::max(input.leastPerDomain, roundedUp(cannotWait / survivors));
    const double rest = all - static_cast<double>(regular) * domains;
    const std::uint32_t reclaimable =
        redoable > 0 ? roundedUp(std::min(rest, all * redoable) / domains) : 0;
    const std::uint32_t count = costClass == CostClass::Regular ? regular : reclaimable;
    return std::min(count, input.mostPerZone);
}

std::vector<ZoneTarget> FleetPlanner::decide(Millis now, const FleetInput &input)
{
    std::vector<ZoneTarget> changes;
    for (const FailureDomainId &domain : input.domains) {
        for (const CostClass costClass : {CostClass::Regular, CostClass::Reclaimable}) {
            const Zone zone{domain, costClass};
            const auto known = input.targets.find(zone);
            const std::uint32_t current = known == input.targets.end() ? 0 : known->second;
            const auto count = step(now, zones_[zone], current, wanted(input, costClass));
            if (count)
                changes.push_back(ZoneTarget{zone, *count});
        }
    }
    return changes;
}

std::optional<std::uint32_t> FleetPlanner::step(Millis now, ZoneState &state, std::uint32_t current,
                                                std::uint32_t target) const
{
    if (target >= current)
        state.lowSince.reset();
    if (target > current) {
        state.raisedAt = now;
        return target;
    }
    if (target == current)
        return std::nullopt;
    if (!state.lowSince)
        state.lowSince = now;
    // Starting and stopping cost money each time; a short dip must not be followed.
    const bool isLowLongEnough = now - *state.lowSince >= timing_.lowerAfter;
    const bool isUpLongEnough = !state.raisedAt || now - *state.raisedAt >= timing_.minimumUp;
    if (!isLowLongEnough || !isUpLongEnough)
        return std::nullopt;
    state.lowSince = now;
    return current - 1;
}

} // namespace cuminrail

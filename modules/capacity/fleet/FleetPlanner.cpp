#include "capacity/fleet/FleetPlanner.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

std::uint32_t roundUp(double count)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, count) - 1e-9));
}

} // namespace

std::uint32_t FleetPlanner::requiredCount(const FleetInput &input, CostClass costClass) const
{
    const auto domains = static_cast<double>(std::max<std::size_t>(input.domains.size(), 1));
    const FleetDemand &demand = input.demand;
    const double all = demand.engines * demand.expectedFactor / options_.utilisation;
    const double interruptible = std::clamp(demand.interruptibleShare, 0.0, 1.0);
    const double uninterruptible = all * (1 - interruptible);
    // All reclaimable upstreams of a zone may be withdrawn, and a failure domain may be lost as a
    // whole. The remaining upstreams must have capacity for the uninterruptible work, or they would
    // be overloaded and fail one after the other.
    const double survivors = std::max(1.0, domains - 1);
    const std::uint32_t regular =
        std::max(input.minPerDomain, roundUp(uninterruptible / survivors));
    const double remaining = all - static_cast<double>(regular) * domains;
    const std::uint32_t reclaimable =
        interruptible > 0 ? roundUp(std::min(remaining, all * interruptible) / domains) : 0;
    const std::uint32_t count = costClass == CostClass::Regular ? regular : reclaimable;
    return std::min(count, input.maxPerZone);
}

std::vector<ZoneTarget> FleetPlanner::decide(Millis now, const FleetInput &input)
{
    std::vector<ZoneTarget> changes;
    for (const FailureDomainId &domain : input.domains) {
        for (const CostClass costClass : {CostClass::Regular, CostClass::Reclaimable}) {
            const Zone zone{domain, costClass};
            const auto known = input.targets.find(zone);
            const std::uint32_t current = known == input.targets.end() ? 0 : known->second;
            const auto count =
                nextTarget(now, zones_[zone], current, requiredCount(input, costClass));
            if (count)
                changes.push_back(ZoneTarget{zone, *count});
        }
    }
    return changes;
}

std::optional<std::uint32_t> FleetPlanner::nextTarget(Millis now, ZoneState &state,
                                                      std::uint32_t current,
                                                      std::uint32_t target) const
{
    if (target >= current)
        state.lowDemandSince.reset();
    if (target > current) {
        state.raisedAt = now;
        return target;
    }
    if (target == current)
        return std::nullopt;
    if (!state.lowDemandSince)
        state.lowDemandSince = now;
    // Each start and stop of an upstream has a cost, so short dips in demand are ignored.
    const bool isLowLongEnough = now - *state.lowDemandSince >= options_.loweringDelay;
    const bool isUpLongEnough = !state.raisedAt || now - *state.raisedAt >= options_.minUptime;
    if (!isLowLongEnough || !isUpLongEnough)
        return std::nullopt;
    state.lowDemandSince = now;
    return current - 1;
}

} // namespace cuminrail

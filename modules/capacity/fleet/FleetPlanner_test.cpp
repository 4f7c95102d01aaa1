#include "capacity/fleet/FleetPlanner.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

FleetInput inputFor(double engines, double interruptible, double factor = 1)
{
    FleetInput input;
    input.demand = {engines, interruptible, factor};
    for (const char *name : {"a", "b", "c"})
        input.domains.emplace_back(name);
    return input;
}

void adopt(FleetInput &input, const std::vector<ZoneTarget> &changes)
{
    for (const ZoneTarget &change : changes)
        input.targets[change.zone] = change.count;
}

} // namespace

// A failure domain is lost at peak demand, or all its reclaimable upstreams are. The remaining
// upstreams must still have capacity for the uninterruptible work.
TEST_CASE("without one whole failure domain the remaining upstreams carry the uninterruptible work")
{
    const FleetPlanner planner{FleetPlannerOptions{}};
    for (const double engines : {1.0, 5.0, 20.0, 300.0}) {
        for (const double interruptible : {0.0, 0.2, 0.5, 0.9}) {
            INFO("engines " << engines << " interruptible " << interruptible);
            const FleetInput input = inputFor(engines, interruptible);
            const double regular = planner.requiredCount(input, CostClass::Regular);
            const double reclaimable = planner.requiredCount(input, CostClass::Reclaimable);
            CHECK(regular * 2 >= engines * (1 - interruptible));
            CHECK((regular + reclaimable) * 3 >= engines);
            CHECK(reclaimable * 3
                  <= engines * interruptible / FleetPlannerOptions{}.utilisation + 3);
        }
    }
}

TEST_CASE("uninterruptible work adds no reclaimable upstream")
{
    const FleetPlanner planner{FleetPlannerOptions{}};
    CHECK(planner.requiredCount(inputFor(50, 0), CostClass::Reclaimable) == 0);
}

TEST_CASE("a declared day raises the target before demand rises")
{
    const FleetPlanner planner{FleetPlannerOptions{}};
    const auto ordinary = planner.requiredCount(inputFor(10, 0), CostClass::Regular);
    const auto declared = planner.requiredCount(inputFor(10, 0, 2), CostClass::Regular);
    CHECK(declared >= 2 * ordinary - 1);
}

// Demand rises and falls every few minutes. Each start and stop has a cost, so targets are raised
// immediately but lowered only after a long delay, one at a time.
TEST_CASE("targets are raised immediately and lowered after a delay")
{
    FleetPlanner planner{FleetPlannerOptions{}};
    FleetInput input = inputFor(6, 0);
    adopt(input, planner.decide(Millis(0), input));
    const Zone zone{FailureDomainId("a"), CostClass::Regular};
    const std::uint32_t high = input.targets[zone];
    int changes = 0;
    for (Millis now = Millis::minutes(1); now < Millis::minutes(60); now += Millis::minutes(1)) {
        input.demand.engines = now.count() / Millis::minutes(4).count() % 2 == 0 ? 6 : 2;
        const auto decided = planner.decide(now, input);
        changes += static_cast<int>(decided.size());
        adopt(input, decided);
    }
    CHECK(changes == 0);
    CHECK(input.targets[zone] == high);
    input.demand.engines = 1;
    for (Millis now = Millis::minutes(60); now < Millis::minutes(90); now += Millis::minutes(1))
        adopt(input, planner.decide(now, input));
    CHECK(input.targets[zone] < high);
    CHECK(input.targets[zone] >= high - 3);
}

#include "capacity/fleet/FleetPlanner.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

FleetInput inputFor(double engines, double redoable, double factor = 1)
{
    FleetInput input;
    input.demand = {engines, redoable, factor};
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

// A failure domain is lost at the peak, or every reclaimable upstream of it. What cannot wait must
// still fit on what is left.
TEST_CASE("with a whole failure domain lost the rest carries what cannot wait")
{
    const FleetPlanner planner{FleetTiming{}};
    for (const double engines : {1.0, 5.0, 20.0, 300.0}) {
        for (const double redoable : {0.0, 0.2, 0.5, 0.9}) {
            INFO("engines " << engines << " redoable " << redoable);
            const FleetInput input = inputFor(engines, redoable);
            const double regular = planner.wanted(input, CostClass::Regular);
            const double reclaimable = planner.wanted(input, CostClass::Reclaimable);
            CHECK(regular * 2 >= engines * (1 - redoable));
            CHECK((regular + reclaimable) * 3 >= engines);
            CHECK(reclaimable * 3 <= engines * redoable / FleetTiming{}.utilisation + 3);
        }
    }
}

TEST_CASE("work that cannot be redone brings no reclaimable upstream")
{
    const FleetPlanner planner{FleetTiming{}};
    CHECK(planner.wanted(inputFor(50, 0), CostClass::Reclaimable) == 0);
}

TEST_CASE("a declared day raises the target before the demand is there")
{
    const FleetPlanner planner{FleetTiming{}};
    const auto ordinary = planner.wanted(inputFor(10, 0), CostClass::Regular);
    const auto declared = planner.wanted(inputFor(10, 0, 2), CostClass::Regular);
    CHECK(declared >= 2 * ordinary - 1);
}

// Demand goes up and down every few minutes. Each start and stop costs money, so targets go up at
// once and down only after a long time, by one.
TEST_CASE("targets rise at once and fall late")
{
    FleetPlanner planner{FleetTiming{}};
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

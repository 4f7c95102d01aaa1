#include <doctest/doctest.h>

#include "dataplane/fleet/FleetPlan.h"

using namespace cuminrail;

namespace {

constexpr ScaleBounds oneToSix{1, 6, Millis(4000)};

} // namespace

// Guards against regular upstreams that are removed before reclaimable ones are ready, and against
// targets above the operators' bounds while the fleet is rebuilt.
TEST_CASE("the target follows the listed upstreams step by step")
{
    struct Row
    {
        const char *what;
        DomainFleet listed;
        DomainSupply supply;
        DomainTarget target;
    };
    for (const Row &row :
         {Row{"under load: free capacity is filled first", {3, 0}, {}, {3, 3}},
          Row{"reclaimable ones are ready: regular ones are removed", {3, 3}, {}, {1, 3}},
          Row{"regular ones are gone: the rest is reclaimable", {1, 3}, {}, {1, 5}},
          Row{"no requests yet: replaced at once", {3, 0}, {true, Millis(0), {}}, {1, 5}},
          Row{"more are listed than the bounds allow", {9, 0}, {}, {6, 0}},
          Row{"fewer are usable: only those are ordered",
              {1, 0},
              {false, Millis(0), {}, 4U},
              {1, 3}},
          Row{"fewer are usable than are listed", {1, 5}, {false, Millis(0), {}, 2U}, {1, 1}},
          Row{"fewer are usable than the operators' least number",
              {1, 0},
              {false, Millis(0), {}, 0U},
              {1, 0}},
          Row{"a short denial changes nothing", {1, 0}, {false, Millis(900), {}}, {1, 5}}}) {
        CAPTURE(row.what);
        FleetPlan plan;
        CHECK(plan.decide(oneToSix, row.listed, row.supply) == row.target);
    }
}

// Guards against a domain that depends on the spare capacity of others for long: all its
// reclaimable upstreams are withdrawn and the platform denies new ones.
TEST_CASE("regular upstreams are ordered as substitutes while reclaimable ones are denied")
{
    FleetPlan plan;
    plan.decide(oneToSix, {1, 5}, {});
    CHECK(plan.decide(oneToSix, {1, 0}, {false, Millis(3100), Millis(0)}) == DomainTarget{3, 3});
    CHECK(plan.decide(oneToSix, {3, 3}, {false, Millis(0), {}}) == DomainTarget{1, 3});
}

// Guards against a domain without capacity when reclaimable upstreams are available again: they
// boot for seconds. If the substitutes were removed at once, the domain would have none until then;
// if they were removed when the first ones are ready, it would lack capacity while the rest boots.
TEST_CASE("substitutes stay for a while after the denial has ended")
{
    const FleetPlan plan;
    const DomainSupply recentDenial{false, Millis(0), Millis(5000)};
    CHECK(plan.decide(oneToSix, {3, 0}, recentDenial) == DomainTarget{3, 3});
    CHECK(plan.decide(oneToSix, {3, 3}, recentDenial) == DomainTarget{3, 3});
    const DomainSupply oldDenial{false, Millis(0), Millis(61000)};
    CHECK(plan.decide(oneToSix, {3, 3}, oldDenial) == DomainTarget{1, 3});
    // Without substitutes, a denial that has ended changes nothing.
    CHECK(plan.decide(oneToSix, {1, 3}, recentDenial) == DomainTarget{1, 5});
}

// Guards against orders that break the operators' bounds, whatever is listed at the moment.
TEST_CASE("the target is always within the operators' bounds")
{
    for (std::uint32_t minTotal = 0; minTotal <= 4; ++minTotal) {
        for (std::uint32_t maxTotal = 1; maxTotal <= 12; ++maxTotal) {
            for (std::uint32_t regular = 0; regular <= 14; ++regular) {
                for (std::uint32_t reclaimable = 0; reclaimable <= 14; ++reclaimable) {
                    FleetPlan plan;
                    const ScaleBounds bounds{std::min(minTotal, maxTotal), maxTotal, Millis(4000)};
                    const DomainTarget target = plan.decide(bounds, {regular, reclaimable}, {});
                    CHECK(target.regular + target.reclaimable <= maxTotal);
                    CHECK(target.regular + target.reclaimable >= bounds.least);
                    CHECK(target.regular >= 1);
                }
            }
        }
    }
}

#include <doctest/doctest.h>

#include "dataplane/usage/UsageLedger.h"

using namespace cuminrail;

// Guards against requests billed in the wrong window, and against a ledger that grows without
// limit.
TEST_CASE("each window has its own counts, and the oldest windows are dropped")
{
    UsageLedger ledger;
    const auto retained = static_cast<std::int64_t>(UsageLedger::keptWindows);
    for (std::int64_t window = 0; window < retained + 3; ++window) {
        ledger.count(window, "north");
        ledger.count(window, "north");
        ledger.count(window, "south");
    }
    CHECK(ledger.windows().size() == UsageLedger::keptWindows);
    CHECK(ledger.windows().begin()->first == 3);
    CHECK(ledger.windows().begin()->second.at("north") == 2);
    CHECK(ledger.changes() == static_cast<std::uint64_t>(3 * (retained + 3)));
    CustomerCounts sum{{"north", 1}};
    UsageLedger::add(sum, {{"north", 2}, {"east", 3}});
    CHECK(sum == CustomerCounts{{"north", 3}, {"east", 3}});
}

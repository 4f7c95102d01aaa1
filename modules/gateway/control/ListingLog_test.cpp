#include <doctest/doctest.h>

#include "core/events/EventCatalogue.h"
#include "gateway/control/ListingLog.h"

using namespace cuminrail;

// Guards against a line a change at every instance while a service of thousands is released.
TEST_CASE("beyond some lines in an interval changes of the list are counted in one line")
{
    Millis now;
    std::vector<Event> logged;
    ListingLog log(Clock([&] { return now; }),
                   [&](const Event &event) { logged.push_back(event); });
    for (int i = 0; i < 3000; ++i)
        log.record({{"upstream", std::to_string(i)}});
    CHECK(logged.size() == ListingLog::maxLines);
    now = ListingLog::interval;
    log.tick();
    REQUIRE(logged.size() == ListingLog::maxLines + 1);
    CHECK(logged.back().kind == &events::upstreamsListed);
    CHECK(logged.back().fields.front().second == std::to_string(3000 - ListingLog::maxLines));
    log.tick();
    log.record({{"upstream", "last"}});
    CHECK(logged.size() == ListingLog::maxLines + 2);
    CHECK(logged.back().kind == &events::upstreamListed);
}

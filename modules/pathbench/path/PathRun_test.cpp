#include "pathbench/path/PathRun.h"

#include <doctest/doctest.h>

using namespace cuminrail::pathbench;

TEST_CASE("the path bench sends every request both ways and loses none")
{
    PathOptions options;
    options.requests = 64;
    const auto rows = runPath(options);
    REQUIRE(rows.size() == 4);
    for (const PathRow &row : rows) {
        CAPTURE(row.connections);
        CAPTURE(row.isStreamed);
        CHECK(row.failures == 0);
        CHECK(row.directP50 > 0);
        CHECK(row.throughP50 > 0);
        CHECK(row.cpuMicros > 0);
    }
}

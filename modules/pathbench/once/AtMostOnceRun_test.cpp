#include "pathbench/once/AtMostOnceRun.h"

#include "core/guards/Guards.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace cuminrail;
using pathbench::AtMostOnceOptions;
using pathbench::AtMostOnceResult;
using pathbench::runAtMostOnce;

namespace {

AtMostOnceOptions smallRun()
{
    AtMostOnceOptions options;
    options.requests = 600;
    options.seed = 20;
    return options;
}

} // namespace

TEST_CASE("a lodging never runs twice, however its connection breaks, and every caller is told")
{
    // Connections to the services are cut before, during and after the send, reset, stalled or
    // answered late. A retry of what may have run lodges a bundle twice; a wrong "not run" makes
    // the paralegal lodge it again by hand; no word at all leaves both possible.
    const AtMostOnceResult result = runAtMostOnce(smallRun());
    INFO(result.toJson().dump());
    CHECK(result.ranTwice == 0);
    CHECK(result.falseNotRun == 0);
    CHECK(result.falseRan == 0);
    CHECK(result.untold == 0);
    CHECK(result.disturbed > 30);
    CHECK(result.toldRan > 300);
    CHECK(result.toldMayHaveRun > 30);
}

TEST_CASE("a lodging with a key runs once, though its caller repeats it at another instance")
{
    // As above, and the caller goes on asking, at one instance and the other in turns, while the
    // platform loses answers about claims. Each repeat must get the stored answer or be told that
    // the first one may have run.
    AtMostOnceOptions options = smallRun();
    options.isKeyed = true;
    const AtMostOnceResult result = runAtMostOnce(options);
    INFO(result.toJson().dump());
    CHECK(result.ranTwice == 0);
    CHECK(result.falseNotRun == 0);
    CHECK(result.falseRan == 0);
    CHECK(result.untold == 0);
    CHECK(result.repeats > 30);
    CHECK(result.toldRan > 300);
}

TEST_CASE("the run notices when what may have run is sent again")
{
    const DisabledGuard off(Guard::VerdictBeforeRetry);
    CHECK(runAtMostOnce(smallRun()).ranTwice > 0);
}

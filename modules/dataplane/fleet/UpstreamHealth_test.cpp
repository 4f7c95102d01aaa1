#include <doctest/doctest.h>

#include "dataplane/fleet/UpstreamHealth.h"

using namespace cuminrail;

// Guards against errors that do not stop: an upstream passes its health check and breaks part of
// its requests for as long as it gets its share of the work.
TEST_CASE("an upstream with broken attempts is ejected, tried again, and ejected for longer")
{
    UpstreamHealth health;
    health.record("a", AttemptSign::Broken, Millis(0));
    CHECK_FALSE(health.isEjected("a", Millis(0)));
    health.record("a", AttemptSign::Broken, Millis(10));
    CHECK(health.isEjected("a", Millis(500)));
    CHECK_FALSE(health.isEjected("a", Millis(1500)));
    health.record("a", AttemptSign::Broken, Millis(1500));
    CHECK(health.isEjected("a", Millis(3000)));
    CHECK_FALSE(health.isEjected("a", Millis(3600)));
}

// Guards against an ejection because of overload or of error responses alone.
TEST_CASE("kinds of outcomes have different weights")
{
    struct Row
    {
        AttemptSign sign;
        double minShare;
        double maxShare;
    };
    for (const Row &row :
         {Row{AttemptSign::Good, 0.0, 0.0}, Row{AttemptSign::Full, 0.0, 0.0},
          Row{AttemptSign::Failure, 0.4, 0.5}, Row{AttemptSign::Broken, 0.9, 1.0}}) {
        UpstreamHealth health;
        for (int i = 0; i < 60; ++i)
            health.record("a", row.sign, Millis(i));
        CHECK(health.badShare("a") >= row.minShare);
        CHECK(health.badShare("a") <= row.maxShare);
    }
}

// Guards against bad outcomes that count forever, or that count against a new incarnation.
TEST_CASE("good outcomes reduce the share of bad ones, and removal resets it")
{
    UpstreamHealth health;
    for (int i = 0; i < 5; ++i)
        health.record("a", AttemptSign::Broken, Millis(i));
    const double before = health.badShare("a");
    for (int i = 0; i < 10; ++i)
        health.record("a", AttemptSign::Good, Millis(10 + i));
    CHECK(health.badShare("a") < before / 2);
    health.forget("a");
    CHECK(health.badShare("a") == 0);
}

// Guards against many requests that wait in vain for a connection: an upstream is dead for longer
// than its ejection, and when that ends, it looks like the best choice to all current requests.
TEST_CASE("after an ejection a single request is the trial")
{
    UpstreamHealth health;
    health.record("a", AttemptSign::Broken, Millis(0));
    health.record("a", AttemptSign::Broken, Millis(0));
    REQUIRE(health.isEjected("a", Millis(900)));
    REQUIRE_FALSE(health.isEjected("a", Millis(1001)));
    health.started("a", Millis(1001));
    CHECK(health.isEjected("a", Millis(1002)));
    SUBCASE("it fails")
    {
        health.record("a", AttemptSign::Broken, Millis(1400));
        CHECK(health.isEjected("a", Millis(3300)));
        CHECK_FALSE(health.isEjected("a", Millis(3401)));
    }
    SUBCASE("it succeeds")
    {
        health.record("a", AttemptSign::Good, Millis(1100));
        CHECK_FALSE(health.isEjected("a", Millis(1101)));
        health.started("a", Millis(1102));
        CHECK_FALSE(health.isEjected("a", Millis(1103)));
    }
    SUBCASE("there is no outcome")
    {
        CHECK_FALSE(health.isEjected("a", Millis(3100)));
    }
}

// Guards against an upstream that is taken for active long after its last sign of progress.
TEST_CASE("progress counts only within the given span")
{
    UpstreamHealth health;
    CHECK_FALSE(health.hasProgressed("a", Millis(700), Millis(0)));
    health.progressed("a", Millis(100));
    CHECK(health.hasProgressed("a", Millis(700), Millis(800)));
    CHECK_FALSE(health.hasProgressed("a", Millis(700), Millis(801)));
}

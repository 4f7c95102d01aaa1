#include <doctest/doctest.h>

#include "dataplane/fleet/UpstreamHealth.h"

using namespace cuminrail;

// An upstream passes its health check and breaks part of its requests. Callers see errors that do
// not stop as long as it gets its share of the work.
TEST_CASE("an upstream that breaks off is set aside, tried again, and set aside for longer")
{
    UpstreamHealth health;
    health.record("a", AttemptSign::Broken, Millis(0));
    CHECK_FALSE(health.isSetAside("a", Millis(0)));
    health.record("a", AttemptSign::Broken, Millis(10));
    CHECK(health.isSetAside("a", Millis(500)));
    CHECK_FALSE(health.isSetAside("a", Millis(1500)));
    health.record("a", AttemptSign::Broken, Millis(1500));
    CHECK(health.isSetAside("a", Millis(3000)));
    CHECK_FALSE(health.isSetAside("a", Millis(3600)));
}

TEST_CASE("signs weigh differently")
{
    struct Row
    {
        AttemptSign sign;
        double least;
        double most;
    };
    for (const Row &row :
         {Row{AttemptSign::Good, 0.0, 0.0}, Row{AttemptSign::Full, 0.0, 0.0},
          Row{AttemptSign::Failure, 0.4, 0.5}, Row{AttemptSign::Broken, 0.9, 1.0}}) {
        UpstreamHealth health;
        for (int i = 0; i < 60; ++i)
            health.record("a", row.sign, Millis(i));
        CHECK(health.badShare("a") >= row.least);
        CHECK(health.badShare("a") <= row.most);
    }
}

TEST_CASE("good outcomes are forgotten with a new life and wear bad ones out")
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

// An upstream is dead for longer than its pause. When the pause ends, every request of the moment
// takes it for the best choice, and all wait for a connection that never comes.
TEST_CASE("after a pause a single request is the trial")
{
    UpstreamHealth health;
    health.record("a", AttemptSign::Broken, Millis(0));
    health.record("a", AttemptSign::Broken, Millis(0));
    REQUIRE(health.isSetAside("a", Millis(900)));
    REQUIRE_FALSE(health.isSetAside("a", Millis(1001)));
    health.started("a", Millis(1001));
    CHECK(health.isSetAside("a", Millis(1002)));
    SUBCASE("it fails")
    {
        health.record("a", AttemptSign::Broken, Millis(1400));
        CHECK(health.isSetAside("a", Millis(3300)));
        CHECK_FALSE(health.isSetAside("a", Millis(3401)));
    }
    SUBCASE("it succeeds")
    {
        health.record("a", AttemptSign::Good, Millis(1100));
        CHECK_FALSE(health.isSetAside("a", Millis(1101)));
        health.started("a", Millis(1102));
        CHECK_FALSE(health.isSetAside("a", Millis(1103)));
    }
    SUBCASE("nothing is heard of it")
    {
        CHECK_FALSE(health.isSetAside("a", Millis(3100)));
    }
}

TEST_CASE("progress is remembered for as long as is asked")
{
    UpstreamHealth health;
    CHECK_FALSE(health.hasProgressed("a", Millis(700), Millis(0)));
    health.progressed("a", Millis(100));
    CHECK(health.hasProgressed("a", Millis(700), Millis(800)));
    CHECK_FALSE(health.hasProgressed("a", Millis(700), Millis(801)));
}

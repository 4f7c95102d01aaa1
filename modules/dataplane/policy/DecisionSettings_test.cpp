#include <doctest/doctest.h>

#include "dataplane/policy/DecisionSettings.h"

using namespace cuminrail;

TEST_CASE("every figure can be set by its name")
{
    for (const std::string &name : DecisionSettings::names()) {
        CAPTURE(name);
        DecisionSettings settings;
        Reason reason;
        CHECK(settings.set(name + "=1", &reason) != settings.set(name + "=-1", &reason));
        CHECK(reason.where == name);
    }
}

TEST_CASE("a figure that is set takes effect")
{
    DecisionSettings settings;
    Reason reason;
    REQUIRE(settings.set("decode-share=0.25", &reason));
    REQUIRE(settings.set("kept-share=0.5", &reason));
    REQUIRE(settings.set("dwell-ms=7000", &reason));
    CHECK(settings.stages.decodeShare == doctest::Approx(0.25));
    CHECK(settings.fleet.keptShare == doctest::Approx(0.5));
    CHECK(settings.stages.dwell == Millis(7000));
}

TEST_CASE("what cannot be set is refused with the place and the bounds, and changes nothing")
{
    struct Row
    {
        const char *text;
        const char *where;
        const char *what;
    };
    for (const Row &row : {
             Row{"kept-share=1.5", "kept-share", "must be a number from 0 to 1"},
             Row{"kept-share=half", "kept-share", "must be a number from 0 to 1"},
             Row{"kept-share=0.2x", "kept-share", "must be a number from 0 to 1"},
             Row{"kept-share=nan", "kept-share", "must be a number from 0 to 1"},
             Row{"kept-share", "kept-share", "must be a number from 0 to 1"},
             Row{"", "", "is no figure that can be set"},
             Row{"speed=3", "speed", "is no figure that can be set"},
         }) {
        CAPTURE(row.text);
        DecisionSettings settings;
        Reason reason;
        CHECK_FALSE(settings.set(row.text, &reason));
        CHECK(reason.where == row.where);
        CHECK(reason.what == row.what);
        CHECK(settings.fleet.keptShare == FleetPlanSettings().keptShare);
    }
}

#include <doctest/doctest.h>

#include "dataplane/policy/DecisionSettings.h"

using namespace cuminrail;

// Guards against a setting that names() lists but set() does not accept, or accepts without bounds.
TEST_CASE("every decision setting can be set by its name, within its bounds")
{
    for (const std::string &name : DecisionSettings::names()) {
        CAPTURE(name);
        DecisionSettings settings;
        Reason reason;
        CHECK(settings.set(name + "=1", &reason) != settings.set(name + "=-1", &reason));
        CHECK(reason.where == name);
    }
}

// Guards against a name that is accepted and assigned to another parameter.
TEST_CASE("a decision setting changes the parameter that it names")
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

// Guards against a mistyped setting that is silently ignored or takes effect as something else.
TEST_CASE("an invalid setting is rejected with its name and bounds, and changes nothing")
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
             Row{"", "", "is not a decision setting"},
             Row{"speed=3", "speed", "is not a decision setting"},
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

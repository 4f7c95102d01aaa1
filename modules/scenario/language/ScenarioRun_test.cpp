#include "scenario/language/ScenarioRun.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cuminrail;

// A change of a module breaks a guarantee or an expectation of an example scenario.
TEST_CASE("all example scenarios pass with several seeds")
{
    std::size_t files = 0;
    for (const auto &entry : std::filesystem::directory_iterator("examples/scenarios")) {
        if (entry.path().extension() != ".scenario")
            continue;
        ++files;
        std::ifstream file(entry.path());
        std::ostringstream text;
        text << file.rdbuf();
        Reason lastReason;
        const auto script = readScenario(entry.path().string(), text.str(), &lastReason);
        INFO(lastReason.toString());
        REQUIRE(script);
        CHECK(!script->title.empty());
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ScenarioOptions options;
            options.seed = seed;
            const ScenarioResult result = runScenario(*script, options);
            std::string problems = script->name + " seed " + std::to_string(seed);
            for (const Breach &breach : result.breaches)
                problems += "\n" + breach.promise + ": " + breach.evidence;
            for (const std::string &unmet : result.unmet)
                problems += "\n" + unmet;
            INFO(problems);
            CHECK(result.isGood());
        }
    }
    CHECK(files >= 25);
}

// Runs with one seed differ, so that a failure cannot be reproduced, or an unmet expectation is
// reported without its line.
TEST_CASE("runs with the same seed are identical, and an unmet expectation names its line")
{
    const char *text = "# t\ninstance a domain d\nengine e1 domain d\n"
                       "at 5s order e1 change-role decode\nend 20s\n"
                       "expect engine e1 role prefill\n";
    const auto script = readScenario("f", text, nullptr);
    REQUIRE(script);
    ScenarioOptions options;
    options.seed = 7;
    const ScenarioResult first = runScenario(*script, options);
    const ScenarioResult second = runScenario(*script, options);
    CHECK(traceOf(first) == traceOf(second));
    REQUIRE(first.unmet.size() == 1);
    CHECK(first.unmet.front() == "f:6: expected prefill, found decode");
}

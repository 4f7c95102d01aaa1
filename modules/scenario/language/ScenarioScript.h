#pragma once

#include "core/errors/Reason.h"
#include "core/time/Millis.h"
#include "scenario/world/ScenarioWorld.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/** A statement applied before the world starts. */
struct ScenarioSetup
{
    std::function<void(ScenarioWorld &)> apply;
};

/** A statement that performs an action or injects a fault at a given time. */
struct ScenarioAction
{
    Millis at;
    std::string text;
    std::function<void(ScenarioWorld &)> apply;
};

/** A condition that must hold at a given time; check returns nullopt when it does. */
struct ScenarioExpectation
{
    Millis at;
    int line = 0;
    std::string text;
    std::function<std::optional<std::string>(ScenarioWorld &)> check;
};

/** A parsed and validated scenario. */
struct ScenarioScript
{
    std::string name;
    /** The file's first comment line. */
    std::string title;
    std::vector<ScenarioSetup> setups;
    std::vector<ScenarioAction> actions;
    std::vector<ScenarioExpectation> expectations;
    /** Names of the engines that reject orders with a lower fence. */
    std::set<std::string> checkingEngines;
    Millis end = Millis::seconds(60);
    /** Time range of the messages at which the fault matrix injects faults. */
    Millis stepsFrom;
    Millis stepsTo;
};

/**
    Parses a scenario: one statement per line, # begins a comment.

    docs/SCENARIOS.md describes the statements. Errors name the file, the line and the reason:
    "court-day.scenario:12: unknown instance 'x'".
*/
std::optional<ScenarioScript> readScenario(const std::string &name, const std::string &text,
                                           Reason *lastReason);

} // namespace cuminrail

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

/** A line that sets the world up before it starts. */
struct ScenarioSetup
{
    std::function<void(ScenarioWorld &)> apply;
};

/** A line that acts or breaks something at an instant. */
struct ScenarioAction
{
    Millis at;
    std::string text;
    std::function<void(ScenarioWorld &)> apply;
};

/** A line that says what must hold at an instant; nothing returned means it does. */
struct ScenarioExpectation
{
    Millis at;
    int line = 0;
    std::string text;
    std::function<std::optional<std::string>(ScenarioWorld &)> check;
};

/** A scenario that has been read and checked. */
struct ScenarioScript
{
    std::string name;
    /** The first line of the file's comment. */
    std::string title;
    std::vector<ScenarioSetup> setups;
    std::vector<ScenarioAction> actions;
    std::vector<ScenarioExpectation> expectations;
    /** Names of the engines that check fences. */
    std::set<std::string> checkingEngines;
    Millis end = Millis::seconds(60);
    /** The part of the run whose messages are the fault matrix's steps. */
    Millis stepsFrom;
    Millis stepsTo;
};

/**
    Reads the scenario language: one statement a line, # begins a comment.

    docs/SCENARIOS.md has the statements. Errors name the file, the line and the reason:
    "court-day.scenario:12: unknown instance 'x'".
*/
std::optional<ScenarioScript> readScenario(const std::string &name, const std::string &text,
                                           Reason *lastReason);

} // namespace cuminrail

#pragma once

#include "scenario/judge/Judge.h"
#include "scenario/language/ScenarioScript.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/** Result of a run. */
struct ScenarioResult
{
    std::vector<Breach> breaches;
    /** Expectations that did not hold: "court-day.scenario:12: expected prefill, found decode" */
    std::vector<std::string> unmet;
    std::vector<FakeMessage> messages;

    bool isGood() const { return breaches.empty() && unmet.empty(); }
};

/** Options of a run besides its script. */
struct ScenarioOptions
{
    std::uint64_t seed = 1;
    /** Called before the world starts; the fault matrix installs its message hook here. */
    std::function<void(ScenarioWorld &)> prepare;
};

/** Runs a script in virtual time and checks its expectations and all guarantees. */
ScenarioResult runScenario(const ScenarioScript &script, const ScenarioOptions &options);

/** Returns all messages of a run, one per line. */
std::string traceOf(const ScenarioResult &result);

} // namespace cuminrail

#pragma once

#include "scenario/judge/Judge.h"
#include "scenario/language/ScenarioScript.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/** How a run ended. */
struct ScenarioResult
{
    std::vector<Breach> breaches;
    /** "court-day.scenario:12: expected prefill, found decode" */
    std::vector<std::string> unmet;
    std::vector<FakeMessage> messages;

    bool isGood() const { return breaches.empty() && unmet.empty(); }
};

/** What a run may be told beside its script. */
struct ScenarioOptions
{
    std::uint64_t seed = 1;
    /** Called with the world before it starts, for the fault matrix. */
    std::function<void(ScenarioWorld &)> prepare;
};

/** Plays a script in virtual time and judges it. */
ScenarioResult runScenario(const ScenarioScript &script, const ScenarioOptions &options);

/** Returns the whole history of a run, one line a message. */
std::string traceOf(const ScenarioResult &result);

} // namespace cuminrail

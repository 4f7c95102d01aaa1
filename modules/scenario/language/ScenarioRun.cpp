#include "scenario/language/ScenarioRun.h"

namespace cuminrail {

ScenarioResult runScenario(const ScenarioScript &script, const ScenarioOptions &options)
{
    ScenarioWorld world(options.seed);
    ScenarioResult result;
    for (const ScenarioSetup &setup : script.setups)
        setup.apply(world);
    for (const ScenarioAction &action : script.actions)
        world.scheduler.at(action.at, [&world, &action] { action.apply(world); });
    if (options.prepare)
        options.prepare(world);
    world.start();
    for (const ScenarioExpectation &expectation : script.expectations) {
        world.scheduler.runUntil(expectation.at);
        const auto problem = expectation.check(world);
        if (problem)
            result.unmet.push_back(script.name + ":" + std::to_string(expectation.line) + ": "
                                   + *problem);
    }
    world.scheduler.runUntil(script.end);
    result.breaches = Judge::judge(world);
    result.messages = world.network.messages();
    return result;
}

std::string traceOf(const ScenarioResult &result)
{
    std::string text;
    for (const FakeMessage &message : result.messages)
        text += std::to_string(message.when.count()) + " " + message.toString() + "\n";
    return text;
}

} // namespace cuminrail

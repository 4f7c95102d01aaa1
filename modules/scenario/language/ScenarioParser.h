#pragma once

#include "scenario/language/ScenarioScript.h"
#include "scenario/language/StatementReader.h"

#include <set>
#include <string>

namespace cuminrail {
namespace detail {

/** Turns statements into a script, checking each name against what was set up before it. */
class ScenarioParser
{
public:
    explicit ScenarioParser(const std::string &name) { script_.name = name; }

    /** Reads one line; throws StatementError. */
    void readLine(const std::string &line, int number);
    ScenarioScript finish();

private:
    void readSetup(const std::string &keyword, StatementReader &words);
    void readInstance(StatementReader &words);
    void fetchEngineReport(StatementReader &words);
    void readZone(StatementReader &words);
    void readSteps(StatementReader &words);
    void readAction(Millis at, StatementReader &words, const std::string &line);
    std::function<void(ScenarioWorld &)> action(const std::string &keyword, StatementReader &words);
    std::function<void(ScenarioWorld &)> orderAction(StatementReader &words);
    std::function<void(ScenarioWorld &)> countAction(StatementReader &words);
    std::function<void(ScenarioWorld &)> callAction(bool isIdempotent, StatementReader &words);
    std::function<void(ScenarioWorld &)> fleetAction(StatementReader &words);
    std::function<void(ScenarioWorld &)> storeAction(StatementReader &words);
    std::function<void(ScenarioWorld &)> lossAction(MessageLeg leg, StatementReader &words);
    std::function<void(ScenarioWorld &)> instanceAction(const std::string &keyword,
                                                        StatementReader &words);
    void readExpectation(Millis at, StatementReader &words, const std::string &line, int number);
    std::string instanceName(StatementReader &words);
    UpstreamId engineName(StatementReader &words);
    TeamId teamName(StatementReader &words);

    ScenarioScript script_;
    std::set<std::string> instances_;
    std::set<std::string> engines_;
    std::set<std::string> teams_;
    std::set<Zone> zones_;
};

/** Reads a failure domain and a cost class. */
Zone readZoneName(StatementReader &words);

/** Reads what follows "expect". */
std::function<std::optional<std::string>(ScenarioWorld &)> readCheck(StatementReader &words);

} // namespace detail
} // namespace cuminrail

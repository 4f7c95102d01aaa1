#pragma once

#include "scenario/language/ScenarioScript.h"
#include "scenario/language/StatementReader.h"

#include <set>
#include <string>

namespace cuminrail {
namespace detail {

/** Parses statements into a script. Names in actions must be declared before. */
class ScenarioParser
{
public:
    explicit ScenarioParser(const std::string &name) { script_.name = name; }

    /** Parses one line; throws StatementError. */
    void readLine(const std::string &line, int number);
    ScenarioScript finish();

private:
    void readSetup(const std::string &keyword, StatementReader &words);
    void readInstance(StatementReader &words);
    void readEngine(StatementReader &words);
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

/** Parses a failure domain and a cost class. */
Zone readZoneName(StatementReader &words);

/** Parses the part of a statement after "expect". */
std::function<std::optional<std::string>(ScenarioWorld &)> readCheck(StatementReader &words);

} // namespace detail
} // namespace cuminrail

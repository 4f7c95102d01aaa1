#include "scenario/matrix/FaultMatrix.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis pauseDuration = Millis::seconds(25);
constexpr Millis cutDuration = Millis::seconds(20);
constexpr Millis outageDuration = Millis::seconds(20);
constexpr Millis storeDelay{900};
/** Just below the longest time that a send may be in flight. */
constexpr Millis lateDelay{4500};

constexpr MessageFate lostMessage{true, Millis(0)};

/** Longer than any send may be in flight under the assumptions of docs/ORDERS.md. */
constexpr Millis beyondFlightDelay = Millis::seconds(30);

bool isEngineMessage(const ScenarioScript &, const FakeMessage &message)
{
    return message.endpoint.rfind("engine:", 0) == 0;
}

/**
    A request may be delayed without bound if its receiver checks a condition or a fence. An
    engine that checks nothing is safe only within the longest time in flight.
*/
bool mayBeLateWithoutBound(const ScenarioScript &operation, const FakeMessage &message)
{
    if (message.leg != MessageLeg::Request)
        return false;
    const bool isPlainEngine = isEngineMessage(operation, message)
        && operation.checkingEngines.count(message.endpoint.substr(7)) == 0;
    return !isPlainEngine;
}

MatrixFault crashFault(const std::string &name, CrashOutcome outcome)
{
    return {name,
            [outcome](ScenarioWorld &world, const FakeMessage &message) {
                world.engines.crash(UpstreamId(message.endpoint.substr(7)), outcome);
                return MessageFate{};
            },
            isEngineMessage};
}

std::vector<MatrixFault> makeFaults()
{
    const auto always = [](const ScenarioScript &, const FakeMessage &) { return true; };
    const auto isReply = [](const ScenarioScript &, const FakeMessage &m) {
        return m.leg == MessageLeg::Reply;
    };
    const auto isRequest = [](const ScenarioScript &, const FakeMessage &m) {
        return m.leg == MessageLeg::Request;
    };
    std::vector<MatrixFault> faults;
    faults.push_back({"kill",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.kill(message.process);
                          return lostMessage;
                      },
                      always});
    faults.push_back({"pause",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.pause(message.process, pauseDuration);
                          return MessageFate{};
                      },
                      always});
    faults.push_back({"cut",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.cut(message.process, "*", cutDuration);
                          return lostMessage;
                      },
                      always});
    faults.push_back(
        {"lose-answer", [](ScenarioWorld &, const FakeMessage &) { return lostMessage; }, isReply});
    faults.push_back({"lose-request",
                      [](ScenarioWorld &, const FakeMessage &) { return lostMessage; }, isRequest});
    faults.push_back({"late",
                      [](ScenarioWorld &, const FakeMessage &) {
                          return MessageFate{false, lateDelay};
                      },
                      isRequest});
    faults.push_back({"late-beyond",
                      [](ScenarioWorld &, const FakeMessage &) {
                          return MessageFate{false, beyondFlightDelay};
                      },
                      mayBeLateWithoutBound});
    faults.push_back({"kill-late",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.killAfterSending(message.process);
                          return MessageFate{false, lateDelay};
                      },
                      isRequest});
    faults.push_back({"kill-late-beyond",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.killAfterSending(message.process);
                          return MessageFate{false, beyondFlightDelay};
                      },
                      mayBeLateWithoutBound});
    faults.push_back({"silence",
                      [](ScenarioWorld &world, const FakeMessage &message) {
                          world.network.silence(message.process, message.endpoint);
                          return lostMessage;
                      },
                      always});
    faults.push_back({"store-down",
                      [](ScenarioWorld &world, const FakeMessage &) {
                          world.storeDown(outageDuration);
                          return MessageFate{};
                      },
                      always});
    faults.push_back({"store-slow",
                      [](ScenarioWorld &world, const FakeMessage &) {
                          world.storeSlow(storeDelay, outageDuration);
                          return MessageFate{};
                      },
                      always});
    faults.push_back(crashFault("crash-old-role", CrashOutcome::OldRole));
    faults.push_back(crashFault("crash-new-role", CrashOutcome::NewRole));
    faults.push_back(crashFault("crash-no-role", CrashOutcome::NoRole));
    return faults;
}

std::vector<FakeMessage> stepsOf(const ScenarioScript &operation, std::uint64_t seed)
{
    ScenarioOptions options;
    options.seed = seed;
    std::vector<FakeMessage> steps = runScenario(operation, options).messages;
    steps.erase(std::remove_if(steps.begin(), steps.end(),
                               [&](const FakeMessage &step) {
                                   return step.when < operation.stepsFrom
                                       || step.when > operation.stepsTo;
                               }),
                steps.end());
    return steps;
}

} // namespace

std::string MatrixRow::name() const
{
    std::string text = fault->name + "/" + operation->name + ":" + std::to_string(step.number);
    if (secondFault != nullptr)
        text += "+" + secondFault->name + ":" + std::to_string(secondStep->number);
    return text;
}

const std::vector<MatrixFault> &FaultMatrix::faults()
{
    static const std::vector<MatrixFault> all = makeFaults();
    return all;
}

std::vector<MatrixRow> FaultMatrix::singles(std::uint64_t seed)
{
    std::vector<MatrixRow> rows;
    for (const ScenarioScript &operation : operations()) {
        for (const FakeMessage &step : stepsOf(operation, seed)) {
            for (const MatrixFault &fault : faults()) {
                if (!fault.applies(operation, step))
                    continue;
                MatrixRow row;
                row.operation = &operation;
                row.fault = &fault;
                row.step = step;
                rows.push_back(row);
            }
        }
    }
    return rows;
}

std::vector<MatrixRow> FaultMatrix::pairs(std::uint64_t seed, std::size_t limit)
{
    std::vector<MatrixRow> all;
    const std::vector<MatrixRow> first = singles(seed);
    // The second fault is injected at a step after the first, numbered in the run with the first
    // one.
    constexpr std::size_t gaps[] = {1, 2, 5, 12, 30};
    for (const MatrixRow &row : first) {
        for (const MatrixFault &fault : faults()) {
            for (const std::size_t gap : gaps) {
                MatrixRow pair = row;
                pair.secondFault = &fault;
                pair.secondStep = row.step;
                pair.secondStep->number += gap;
                all.push_back(pair);
            }
        }
    }
    if (all.size() <= limit || limit == 0)
        return all;
    std::vector<MatrixRow> sampled;
    for (std::size_t i = 0; i < limit; ++i)
        sampled.push_back(all[i * all.size() / limit]);
    return sampled;
}

ScenarioResult FaultMatrix::run(const MatrixRow &row, std::uint64_t seed)
{
    ScenarioOptions options;
    options.seed = seed;
    options.prepare = [&row](ScenarioWorld &world) {
        world.setMatrixHook([&row, &world](const FakeMessage &message) {
            if (message.number == row.step.number)
                return row.fault->strike(world, message);
            const bool isSecond =
                row.secondFault != nullptr && message.number == row.secondStep->number;
            if (isSecond && row.secondFault->applies(*row.operation, message))
                return row.secondFault->strike(world, message);
            return MessageFate{};
        });
    };
    return runScenario(*row.operation, options);
}

} // namespace cuminrail

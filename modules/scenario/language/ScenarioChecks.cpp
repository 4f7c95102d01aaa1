#include "scenario/judge/BilledUse.h"
#include "scenario/language/ScenarioParser.h"

#include <algorithm>

namespace cuminrail {
namespace detail {

namespace {

using Check = std::function<std::optional<std::string>(ScenarioWorld &)>;

std::optional<std::string> mismatch(const std::string &expected, const std::string &found)
{
    if (expected == found)
        return std::nullopt;
    return "expected " + expected + ", found " + found;
}

Check engineCheck(StatementReader &words)
{
    const UpstreamId engine(words.word("an engine"));
    if (words.accept("role")) {
        const std::string role = words.word("a role");
        return [=](ScenarioWorld &w) {
            return mismatch(role,
                            std::string(engineRoleNames.name(w.engines.engine(engine).state.role)));
        };
    }
    words.require("received");
    const std::uint64_t count = words.number("a number of orders");
    return [=](ScenarioWorld &w) {
        return mismatch(std::to_string(count),
                        std::to_string(w.engines.engine(engine).received.size()));
    };
}

Check holderCheck(StatementReader &words)
{
    const std::string duty = words.word("a duty");
    const std::string expected = words.word("one, none or an instance");
    return [=](ScenarioWorld &w) {
        const auto holders = w.holders(duty);
        if (expected == "one")
            return mismatch("1", std::to_string(holders.size()));
        if (expected == "none")
            return mismatch("0", std::to_string(holders.size()));
        return mismatch(expected, holders.empty() ? "none" : holders.front());
    };
}

Check fleetCheck(StatementReader &words)
{
    const Zone zone = readZoneName(words);
    const std::uint64_t count = words.number("the number of upstreams");
    return [=](ScenarioWorld &w) {
        const FleetStatus &status = w.fleet.status(zone.domain, zone.costClass);
        return mismatch(std::to_string(count), std::to_string(status.target.count));
    };
}

std::size_t countAnswers(const ScenarioWorld &world, const std::string &work, Verdict verdict)
{
    const auto &answers = world.answers();
    const auto matches = [&](const CallerAnswer &answer) {
        return answer.call.work == work && answer.verdict == verdict;
    };
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), matches));
}

Check callCheck(StatementReader &words)
{
    const std::string work = words.word("a call");
    if (words.accept("runs")) {
        const std::uint64_t count = words.number("the number of runs");
        return [=](ScenarioWorld &w) {
            const auto &runs = w.service.runs();
            const auto found = std::count_if(
                runs.begin(), runs.end(), [&](const ServiceRun &run) { return run.work == work; });
            return mismatch(std::to_string(count), std::to_string(found));
        };
    }
    words.require("answers");
    const std::string name = words.word("a verdict");
    const auto verdict = verdictNames.value(name);
    if (!verdict)
        throw StatementError("unknown verdict '" + name + "'");
    const std::uint64_t count = words.number("the number of answers");
    return [=](ScenarioWorld &w) {
        return mismatch(std::to_string(count), std::to_string(countAnswers(w, work, *verdict)));
    };
}

Check billedCheck(StatementReader &words)
{
    const CustomerId customer(words.word("a customer"));
    const bool atMost = words.accept("at-most");
    const bool atLeast = !atMost && words.accept("at-least");
    const std::uint64_t tokens = words.number("prompt tokens");
    return [=](ScenarioWorld &w) -> std::optional<std::string> {
        const std::uint64_t billed = usageOf(billedUse(w.usage), customer).promptTokens;
        const bool holds = atMost ? billed <= tokens
            : atLeast             ? billed >= tokens
                                  : billed == tokens;
        if (holds)
            return std::nullopt;
        return "billed " + std::to_string(billed) + " prompt tokens";
    };
}

} // namespace

Check readCheck(StatementReader &words)
{
    const std::string subject = words.word("what is expected");
    if (subject == "engine")
        return engineCheck(words);
    if (subject == "holder")
        return holderCheck(words);
    if (subject == "call")
        return callCheck(words);
    if (subject == "fleet")
        return fleetCheck(words);
    if (subject == "billed")
        return billedCheck(words);
    throw StatementError("unknown expectation '" + subject + "'");
}

} // namespace detail
} // namespace cuminrail

#include "ctl/commands/CommandSession.h"

#include <algorithm>
#include <cctype>
#include <future>

namespace cuminrail::detail {

namespace {

using Json = nlohmann::json;

constexpr const char *noResponseText = "no answer";

PlatformCall adminCall(const std::string &address, const std::string &method,
                       const std::string &target)
{
    PlatformCall call;
    call.address = address;
    call.method = method;
    call.target = target;
    return call;
}

/** Returns an instance's row of the status report, from its state response. */
Json statusRow(const std::string &address, const PlatformAnswer &answer, std::uint64_t generation)
{
    Json row = {{"admin", address}, {"answers", answer.isSuccess()}, {"current", false}};
    const Json state = Json::parse(answer.body, nullptr, false);
    if (!answer.isSuccess() || !state.is_object())
        return row;
    row["instance"] = state.value("/instance/id"_json_pointer, "");
    row["stopping"] = state.value("stopping", false);
    const Json::json_pointer generationPath("/settings/generation");
    if (!state.contains(generationPath) || !state[generationPath].is_number_unsigned())
        return row;
    row["generation"] = state[generationPath];
    row["current"] = state[generationPath] == generation;
    return row;
}

std::string statusLine(const Json &row)
{
    const std::string name = row.value("instance", std::string());
    std::string line = row["admin"].get<std::string>() + "  " + name + "  ";
    if (!row["answers"].get<bool>())
        return line + noResponseText + "\n";
    line += row.contains("generation") ? "generation " + row["generation"].dump() : "no generation";
    line += row["current"].get<bool>() ? "  current" : "  NOT current";
    if (row["stopping"].get<bool>())
        line += "  stopping";
    return line + "\n";
}

} // namespace

PlatformAnswer InstanceCommands::callInstance(const std::string &address, const std::string &method,
                                              const std::string &target)
{
    return loop_.await<PlatformAnswer>([&](PlatformCompletion done) {
        loop_.client().call(adminCall(address, method, target), std::move(done));
    });
}

CtlReport InstanceCommands::drain()
{
    const PlatformAnswer answer = callInstance(arguments_.operands.front(), "POST", "/drain");
    if (!answer.isSuccess())
        return failure(CtlExit::Unavailable,
                       {arguments_.operands.front(),
                        answer.isWhole() ? answer.body : answer.lastReason.toString()});
    CtlReport report;
    report.json["draining"] = true;
    report.text = "its graceful stop has begun\n";
    return report;
}

CtlReport InstanceCommands::state()
{
    return show("/state");
}

CtlReport InstanceCommands::listQuarantines()
{
    return show("/quarantine");
}

CtlReport InstanceCommands::show(const std::string &target)
{
    const PlatformAnswer answer = callInstance(arguments_.operands.front(), "GET", target);
    const Json state = Json::parse(answer.body, nullptr, false);
    if (!answer.isSuccess() || !state.is_structured())
        return failure(CtlExit::Unavailable, {arguments_.operands.front(), noResponseText});
    CtlReport report;
    if (state.is_object())
        report.json = state;
    else
        report.json["quarantines"] = state;
    report.text = state.dump(2) + "\n";
    return report;
}

CtlReport InstanceCommands::liftQuarantine()
{
    const std::string &id = arguments_.operands.back();
    const auto isHexadecimal = [](char each) { return std::isxdigit(each) != 0 || each == 'p'; };
    if (id.empty() || !std::all_of(id.begin(), id.end(), isHexadecimal))
        return failure(CtlExit::Usage, {id, "is not the id of a quarantine"});
    const PlatformAnswer answer =
        callInstance(arguments_.operands.front(), "DELETE", "/quarantine/" + id);
    if (!answer.isSuccess())
        return failure(answer.isWhole() ? CtlExit::Differences : CtlExit::Unavailable,
                       {id, answer.isWhole() ? answer.body : answer.lastReason.toString()});
    CtlReport report;
    report.json["lifted"] = id;
    report.text = answer.body;
    return report;
}

CtlReport InstanceCommands::status(SettingsRepository &repository)
{
    Reason reason;
    const auto stored = repository.load(&reason);
    if (!stored)
        return failure(CtlExit::Unavailable, reason);
    // Instances are queried in parallel: in sequence, the time-outs of a few unresponsive ones
    // would add up.
    std::vector<std::promise<PlatformAnswer>> answers(arguments_.admins.size());
    loop_.post([&] {
        for (std::size_t i = 0; i < answers.size(); ++i)
            loop_.client().call(
                adminCall(arguments_.admins[i], "GET", "/state"),
                [&answers, i](const PlatformAnswer &answer) { answers[i].set_value(answer); });
    });
    CtlReport report;
    report.json["generation"] = stored->head.generation;
    report.json["instances"] = Json::array();
    report.text = "generation " + std::to_string(stored->head.generation) + " is accepted\n";
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const Json row =
            statusRow(arguments_.admins[i], answers[i].get_future().get(), stored->head.generation);
        if (!row["current"].get<bool>())
            report.exit = CtlExit::Differences;
        report.text += statusLine(row);
        report.json["instances"].push_back(row);
    }
    return report;
}

} // namespace cuminrail::detail

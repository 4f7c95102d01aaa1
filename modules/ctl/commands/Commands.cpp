#include "ctl/commands/Commands.h"

#include "ctl/commands/CommandSession.h"
#include "ctl/explain/LoadSummary.h"
#include "ctl/explain/RequestStory.h"
#include "platform/adapters/HttpObjectStore.h"

#include <fstream>

namespace cuminrail {

namespace {

/** Reads the logs named from operand `first` on; false with a report if one is unreadable. */
template<typename Reader>
bool readLogs(const CtlArguments &arguments, std::size_t first, Reader &reader, CtlReport &report)
{
    for (std::size_t i = first; i < arguments.operands.size(); ++i) {
        std::ifstream log(arguments.operands[i]);
        if (!log) {
            report.exit = CtlExit::Usage;
            report.text = arguments.operands[i] + ": cannot be read\n";
            report.json["error"] = report.text;
            return false;
        }
        reader.read(log);
    }
    return true;
}

/** Shows the log lines of one request; needs neither the platform nor an instance. */
CtlReport explain(const CtlArguments &arguments)
{
    CtlReport report;
    StoryReader reader(arguments.operands.front());
    if (!readLogs(arguments, 1, reader, report))
        return report;
    const RequestStory story = reader.story();
    report.text = storyText(story);
    for (const StoryLine &line : story.lines)
        report.json["lines"].push_back({{"time", line.time},
                                        {"instance", line.instance},
                                        {"event", line.event},
                                        {"details", line.details}});
    report.json["gaps"] = story.gaps;
    report.json["unreadable"] = story.unreadable;
    return report;
}

/** Summarizes the requests in logs by route; needs neither the platform nor an instance. */
CtlReport summarize(const CtlArguments &arguments)
{
    CtlReport report;
    LoadSummaryReader reader;
    if (!readLogs(arguments, 0, reader, report))
        return report;
    const LoadSummary summary = reader.summary();
    report.text = summaryText(summary);
    for (const auto &[name, route] : summary.routes)
        report.json["routes"][name] = {
            {"asked", route.asked}, {"on_time", route.onTime}, {"lost", route.lost}};
    report.json["without_end"] = summary.withoutEnd;
    report.json["gaps"] = summary.gaps;
    report.json["unreadable"] = summary.unreadable;
    return report;
}

} // namespace

CtlReport runCtlCommand(const CtlArguments &arguments, const CtlSurroundings &surroundings)
{
    if (arguments.command == "explain")
        return explain(arguments);
    if (arguments.command == "summary")
        return summarize(arguments);
    ControlLoop loop("cuminrailctl", Millis::seconds(3));
    SettingsRepository repository(loop, makeHttpObjectStore(loop.client(), arguments.platform),
                                  surroundings.random);
    detail::SettingsCommands settings(arguments, surroundings, repository);
    detail::InstanceCommands instances(arguments, loop);
    if (arguments.command == "apply" || arguments.command == "diff")
        return settings.apply();
    if (arguments.command == "get")
        return settings.get();
    if (arguments.command == "keys add")
        return settings.addKey();
    if (arguments.command == "keys withdraw")
        return settings.withdrawKey();
    if (arguments.command == "prune")
        return settings.prune();
    if (arguments.command == "drain")
        return instances.drain();
    if (arguments.command == "state")
        return instances.state();
    if (arguments.command == "quarantine list")
        return instances.listQuarantines();
    if (arguments.command == "quarantine lift")
        return instances.liftQuarantine();
    return instances.status(repository);
}

} // namespace cuminrail

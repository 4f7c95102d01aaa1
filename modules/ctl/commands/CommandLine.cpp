#include "ctl/commands/CommandLine.h"

#include "runtime/address/Endpoint.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace cuminrail {

namespace {

/** A command with its number of operands and supported flags. */
struct CommandRow
{
    std::string name;
    std::size_t minOperands;
    std::size_t maxOperands;
    bool needsPlatform;
    std::vector<std::string> flags;
    std::string meaning;
};

const std::vector<CommandRow> &commandRows()
{
    static const std::vector<CommandRow> rows = {
        {"apply", 1, 1, true, {"dry-run", "whole", "base"}, "apply DIR: put a tree in force"},
        {"diff", 1, 1, true, {"whole"}, "diff DIR: what apply would change"},
        {"get", 0, 1, true, {}, "get [SUBTREE]: what is in force"},
        {"keys add",
         0,
         0,
         true,
         {"team", "customer", "label", "key-stdin"},
         "keys add: a new caller key, printed once"},
        {"keys withdraw", 0, 0, true, {"hash", "key-stdin"}, "keys withdraw: end a key for good"},
        {"prune", 0, 0, true, {}, "prune: remove contents that no settings name any more"},
        {"drain", 1, 1, false, {}, "drain IP:PORT: begin an instance's graceful stop"},
        {"state", 1, 1, false, {}, "state IP:PORT: an instance's whole state"},
        {"quarantine list", 1, 1, false, {}, "quarantine list IP:PORT: what gateways refuse"},
        {"quarantine lift",
         2,
         2,
         false,
         {},
         "quarantine lift IP:PORT ID: end a quarantine at all gateways"},
        {"status", 0, 0, true, {"admin"}, "status: which instance has which settings in force"},
        {"explain", 2, 1000, false, {}, "explain REQUEST-ID LOG...: what logs say of a request"},
        {"summary", 1, 1000, false, {}, "summary LOG...: by route, where requests lost time"},
    };
    return rows;
}

const CommandRow *findCommand(std::vector<std::string> &words)
{
    for (const CommandRow &row : commandRows()) {
        std::istringstream names(row.name);
        const std::vector<std::string> parts{std::istream_iterator<std::string>(names), {}};
        if (words.size() < parts.size() || !std::equal(parts.begin(), parts.end(), words.begin()))
            continue;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(parts.size()));
        return &row;
    }
    return nullptr;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("cuminrailctl", "Operators' commands for cuminrail.");
    auto add = options.add_options();
    add("platform", "the platform's address [CUMINRAIL_PLATFORM]", cxxopts::value<std::string>(),
        "IP:PORT");
    add("admin", "operators' addresses of instances [CUMINRAIL_ADMINS]",
        cxxopts::value<std::string>(), "IP:PORT,…");
    add("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("dry-run", "apply: show what would change and change nothing");
    add("whole", "apply, diff: subtrees that are not in DIR are removed");
    add("base", "apply: refuse unless this generation is in force", cxxopts::value<std::uint64_t>(),
        "N");
    add("team", "keys add", cxxopts::value<std::string>(), "name");
    add("customer", "keys add", cxxopts::value<std::string>(), "name");
    add("label", "keys add: for operators", cxxopts::value<std::string>(), "text");
    add("hash", "keys withdraw: SHA-256 of the key", cxxopts::value<std::string>(), "hex");
    add("key-stdin", "keys: read the key from standard input");
    add("help", "print this");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

std::string textOf(const cxxopts::ParseResult &flags, const std::string &name)
{
    return flags.count(name) > 0 ? flags[name].as<std::string>() : std::string();
}

bool checkFlags(const CommandRow &row, const cxxopts::ParseResult &flags, Reason *lastReason)
{
    static const std::vector<std::string> general = {"platform", "admin", "format", "words"};
    for (const auto &given : flags.arguments()) {
        const auto isListed = [&given](const std::vector<std::string> &names) {
            return std::find(names.begin(), names.end(), given.key()) != names.end();
        };
        if (!isListed(general) && !isListed(row.flags))
            return fail(lastReason, "--" + given.key(), "is not supported by " + row.name);
    }
    return true;
}

bool checkAddresses(const CommandRow &row, const CtlArguments &arguments, Reason *lastReason)
{
    static const std::vector<std::string> forInstance = {"drain", "state", "quarantine list",
                                                         "quarantine lift"};
    const bool takesInstanceAddress =
        std::find(forInstance.begin(), forInstance.end(), row.name) != forInstance.end();
    if (row.needsPlatform && !parseRemoteEndpoint(arguments.platform))
        return fail(lastReason, "--platform", "must be an IP address and a port");
    if (takesInstanceAddress && !parseRemoteEndpoint(arguments.operands.front()))
        return fail(lastReason, row.name, "requires an IP address and a port");
    for (const std::string &admin : arguments.admins) {
        if (!parseRemoteEndpoint(admin))
            return fail(lastReason, "--admin", "must be a list of IP addresses and ports");
    }
    if (row.name == "status" && arguments.admins.empty())
        return fail(lastReason, "--admin", "is required: addresses of the instances to query");
    return true;
}

void readFlags(const cxxopts::ParseResult &flags, const CtlEnvironment &environment,
               CtlArguments &arguments)
{
    arguments.platform = flags.count("platform") > 0
        ? textOf(flags, "platform")
        : environment("CUMINRAIL_PLATFORM").value_or("");
    arguments.admins =
        splitList(flags.count("admin") > 0 ? textOf(flags, "admin")
                                           : environment("CUMINRAIL_ADMINS").value_or(""));
    arguments.isJson = textOf(flags, "format") == "json";
    arguments.isDryRun = flags.count("dry-run") > 0;
    arguments.isWhole = flags.count("whole") > 0;
    if (flags.count("base") > 0)
        arguments.base = flags["base"].as<std::uint64_t>();
    arguments.team = textOf(flags, "team");
    arguments.customer = textOf(flags, "customer");
    arguments.label = textOf(flags, "label");
    arguments.hash = textOf(flags, "hash");
    arguments.readsKey = flags.count("key-stdin") > 0;
}

bool checkKeys(const CtlArguments &arguments, Reason *lastReason)
{
    if (arguments.command == "keys add" && (arguments.team.empty() || arguments.customer.empty()))
        return fail(lastReason, "keys add", "needs --team and --customer");
    if (arguments.command == "keys withdraw" && arguments.hash.empty() != arguments.readsKey)
        return fail(lastReason, "keys withdraw", "needs either --hash or --key-stdin");
    return true;
}

std::optional<CtlArguments> check(const cxxopts::ParseResult &flags,
                                  const CtlEnvironment &environment, Reason *lastReason)
{
    CtlArguments arguments;
    arguments.wantsHelp = flags.count("help") > 0;
    if (arguments.wantsHelp)
        return arguments;
    if (flags.count("words") > 0)
        arguments.operands = flags["words"].as<std::vector<std::string>>();
    const CommandRow *row = findCommand(arguments.operands);
    const std::string format = flags["format"].as<std::string>();
    if (row == nullptr)
        fail(lastReason, "command", "is missing or unknown; see --help");
    else if (arguments.operands.size() < row->minOperands
             || arguments.operands.size() > row->maxOperands)
        fail(lastReason, row->name, "has the wrong number of operands; see --help");
    else if (format != "text" && format != "json")
        fail(lastReason, "--format", "must be text or json");
    else if (checkFlags(*row, flags, lastReason)) {
        arguments.command = row->name;
        readFlags(flags, environment, arguments);
        if (checkAddresses(*row, arguments, lastReason) && checkKeys(arguments, lastReason))
            return arguments;
    }
    return std::nullopt;
}

} // namespace

std::optional<CtlArguments> readCtlArguments(int argc, const char *const *argv,
                                             const CtlEnvironment &environment, Reason *lastReason)
{
    try {
        cxxopts::Options options = makeOptions();
        return check(options.parse(argc, argv), environment, lastReason);
    } catch (const std::exception &error) {
        fail(lastReason, "command line", error.what());
        return std::nullopt;
    }
}

std::string ctlHelp()
{
    std::string page = makeOptions().help() + "\nCommands:\n";
    for (const CommandRow &row : commandRows())
        page += "  " + row.meaning + "\n";
    return page;
}

} // namespace cuminrail

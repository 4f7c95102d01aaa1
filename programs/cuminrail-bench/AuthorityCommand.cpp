#include "BenchCommand.h"

#include "authoritybench/authoritybench.h"

#include "core/guards/Guards.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace cuminrail {

namespace {

using authoritybench::HolderEngine;
using authoritybench::HolderOptions;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

/** Reads "e1=127.0.0.1:8000" or, for an engine that checks fences, "e1=127.0.0.1:8000=fence". */
HolderEngine readEngine(const std::string &text)
{
    const auto parts = split(text, '=');
    if (parts.size() < 2)
        throw std::invalid_argument("--engines: must be NAME=IP:PORT[=fence],…");
    return {{UpstreamId(parts[0]), parts.size() > 2}, parts[1]};
}

/** Switches a guard off for the rest of the process, to see that the trial notices. */
std::optional<DisabledGuard> withoutGuard(const cxxopts::ParseResult &flags)
{
    if (flags.count("without") == 0)
        return std::nullopt;
    const auto guard = guardNames.value(flags["without"].as<std::string>());
    if (!guard)
        throw std::invalid_argument("--without: no such guard");
    return std::optional<DisabledGuard>(std::in_place, *guard);
}

nlohmann::json readJson(const std::string &path)
{
    std::ifstream file(path);
    auto json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_object() || !json.contains("records"))
        throw std::invalid_argument(path + ": holds no records");
    return json;
}

} // namespace

int runAuthorityHolderCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench authority-holder",
                             "A process that competes for duties; see extras/authority-runs.sh.");
    auto add = options.add_options();
    add("instance", "its name", cxxopts::value<std::string>());
    add("platform", "IP:PORT", cxxopts::value<std::string>());
    add("members", "names of all holders", cxxopts::value<std::string>());
    add("engines", "NAME=IP:PORT[=fence],…", cxxopts::value<std::string>());
    add("seed", "draws the orders", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("without", "a guard to switch off", cxxopts::value<std::string>());
    add("help", "print this");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto without = withoutGuard(flags);
    HolderOptions holder;
    holder.instance = InstanceId(flags["instance"].as<std::string>());
    holder.platform = flags["platform"].as<std::string>();
    for (const std::string &member : split(flags["members"].as<std::string>(), ','))
        holder.members.emplace_back(member);
    for (const std::string &engine : split(flags["engines"].as<std::string>(), ','))
        holder.engines.push_back(readEngine(engine));
    holder.seed = flags["seed"].as<std::uint64_t>();
    authoritybench::AuthorityHolder(holder).run();
    return 0;
}

int runAuthorityJudgeCommand(int argc, char **argv)
{
    if (argc < 3) {
        std::cerr << "cuminrail-bench authority-judge PLATFORM.json ENGINE.json…\n";
        return usageError;
    }
    std::vector<nlohmann::json> engines;
    for (int i = 2; i < argc; ++i)
        engines.push_back(readJson(argv[i]));
    const auto findings = authoritybench::judgeAuthority(readJson(argv[1]), engines);
    std::cout << findings.toJson().dump() << "\n";
    return findings.isGood() && findings.orders > 0 ? 0 : 1;
}

} // namespace cuminrail

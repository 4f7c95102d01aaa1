#include "BenchCommand.h"

#include "pathbench/once/AtMostOnceRun.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace cuminrail {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("cuminrail-bench at-most-once",
                             "Calls that may not be repeated, while connections break everywhere.");
    auto add = options.add_options();
    add("requests", "how many calls", cxxopts::value<std::uint32_t>()->default_value("10000"));
    add("seed", "draws the faults", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("callers", "callers at once", cxxopts::value<std::uint32_t>()->default_value("24"));
    add("keyed", "with Idempotency-Keys, repeated by callers at two instances, over a platform");
    add("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("help", "print this");
    return options;
}

} // namespace

int runAtMostOnceCommand(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    pathbench::AtMostOnceOptions run;
    run.requests = flags["requests"].as<std::uint32_t>();
    run.seed = flags["seed"].as<std::uint64_t>();
    run.callers = flags["callers"].as<std::uint32_t>();
    run.isKeyed = flags.count("keyed") > 0;
    const std::string format = flags["format"].as<std::string>();
    if (run.requests == 0 || run.callers == 0 || (format != "text" && format != "json")) {
        std::cerr << "--requests and --callers must be positive, --format text or json\n";
        return usageError;
    }
    const pathbench::AtMostOnceResult result = pathbench::runAtMostOnce(run);
    const nlohmann::json json = result.toJson();
    if (format == "json") {
        std::cout << json.dump() << "\n";
    } else {
        for (const auto &entry : json.items())
            std::cout << entry.key() << "\t" << entry.value() << "\n";
    }
    return result.isGood() ? 0 : 1;
}

} // namespace cuminrail

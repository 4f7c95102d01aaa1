#include "BenchCommand.h"

#include "pathbench/path/PathRun.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>

namespace cuminrail {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("cuminrail-bench path",
                             "Completions direct to an engine and through an instance, in turns.");
    auto add = options.add_options();
    add("requests", "requests each way over one connection",
        cxxopts::value<std::uint32_t>()->default_value("4000"));
    add("output-tokens", "tokens of each answer",
        cxxopts::value<std::uint32_t>()->default_value("16"));
    add("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("help", "print this");
    return options;
}

void printTable(const std::vector<pathbench::PathRow> &rows)
{
    std::printf("%-8s %5s %10s %10s %10s %10s %9s %9s %8s %10s\n", "kind", "conns", "direct p50",
                "through", "direct p99", "through", "added p50", "req/s", "cpu us", "req/s core");
    for (const pathbench::PathRow &row : rows)
        std::printf("%-8s %5u %10.1f %10.1f %10.1f %10.1f %9.1f %9.0f %8.1f %10.0f\n",
                    row.isStreamed ? "streamed" : "plain", row.connections, row.directP50,
                    row.throughP50, row.directP99, row.throughP99, row.throughP50 - row.directP50,
                    row.throughPerSecond, row.cpuMicros, row.perCoreSecond());
}

} // namespace

int runPathCommand(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    pathbench::PathOptions run;
    run.requests = flags["requests"].as<std::uint32_t>();
    run.outputTokens = flags["output-tokens"].as<std::uint32_t>();
    const std::string format = flags["format"].as<std::string>();
    if (run.requests < 8 || run.outputTokens == 0 || (format != "text" && format != "json")) {
        std::cerr << "--requests must be at least 8, --output-tokens positive, --format text or "
                     "json\n";
        return usageError;
    }
    const auto rows = pathbench::runPath(run);
    if (format == "text") {
        printTable(rows);
        return 0;
    }
    nlohmann::json json = {{"rows", nlohmann::json::array()}};
    for (const pathbench::PathRow &row : rows)
        json["rows"].push_back(row.toJson());
    std::cout << json.dump() << "\n";
    return 0;
}

} // namespace cuminrail

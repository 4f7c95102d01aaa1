#include "core/guards/Guards.h"
#include "scenario/scenario.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace cuminrail;

namespace {

constexpr int exitUsage = 2;
constexpr std::size_t mostPairs = 20000;
constexpr const char *scenarioFolder = "examples/scenarios";

std::optional<ScenarioScript> load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    Reason lastReason;
    auto script = readScenario(path, text.str(), &lastReason);
    if (!script)
        std::cerr << lastReason.toString() << "\n";
    return script;
}

std::vector<std::string> scenarioFiles()
{
    std::vector<std::string> files;
    if (!std::filesystem::is_directory(scenarioFolder))
        return files;
    for (const auto &entry : std::filesystem::directory_iterator(scenarioFolder)) {
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

void printProblems(const ScenarioResult &result)
{
    for (const Breach &breach : result.breaches)
        std::cout << "    " << breach.promise << ": " << breach.evidence << "\n";
    for (const std::string &unmet : result.unmet)
        std::cout << "    " << unmet << "\n";
}

int finish(const MatrixTotals &totals)
{
    std::cout << totals.passed << " passed, " << totals.failed << " failed\n";
    return totals.failed == 0 ? 0 : 1;
}

int runFiles(const std::vector<std::string> &named, std::uint64_t seed, bool trace)
{
    const std::vector<std::string> files = named.empty() ? scenarioFiles() : named;
    MatrixTotals totals;
    for (const std::string &path : files) {
        const auto script = load(path);
        if (!script)
            return exitUsage;
        ScenarioOptions options;
        options.seed = seed;
        const ScenarioResult result = runScenario(*script, options);
        if (trace)
            std::cout << traceOf(result);
        std::cout << (result.isGood() ? "ok    " : "FAIL  ") << path << "\n";
        printProblems(result);
        ++(result.isGood() ? totals.passed : totals.failed);
    }
    return finish(totals);
}

int listFiles()
{
    for (const std::string &path : scenarioFiles()) {
        const auto script = load(path);
        if (!script)
            return exitUsage;
        std::cout << path << "  " << script->title << "\n";
    }
    return 0;
}

/** Runs rows on several threads; each run has a world of its own. */
std::vector<ScenarioResult> runRows(const std::vector<MatrixRow> &rows, std::uint64_t seed,
                                    unsigned jobs)
{
    std::vector<ScenarioResult> results(rows.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < rows.size(); i = next++) {
            results[i] = FaultMatrix::run(rows[i], seed);
            if (results[i].isGood())
                results[i].messages = {};
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < jobs; ++i)
        threads.emplace_back(work);
    work();
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

std::vector<MatrixRow> selected(std::vector<MatrixRow> rows, const std::string &only)
{
    const auto isOther = [&](const MatrixRow &row) { return row.name().rfind(only, 0) != 0; };
    rows.erase(std::remove_if(rows.begin(), rows.end(), isOther), rows.end());
    return rows;
}

int runMatrix(const cxxopts::ParseResult &options)
{
    const auto only = options["only"].as<std::string>();
    const auto seeds = options["seeds"].as<std::uint64_t>();
    MatrixTotals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const bool pairs = options.count("pairs") != 0;
        const auto rows = selected(
            pairs ? FaultMatrix::pairs(seed, mostPairs) : FaultMatrix::singles(seed), only);
        if (options.count("list") != 0) {
            for (const MatrixRow &row : rows)
                std::cout << row.name() << "  " << row.step.toString() << "\n";
            continue;
        }
        const auto results = runRows(rows, seed, options["jobs"].as<unsigned>());
        for (std::size_t i = 0; i < rows.size(); ++i) {
            ++(results[i].isGood() ? totals.passed : totals.failed);
            if (results[i].isGood())
                continue;
            std::cout << "FAIL  seed " << seed << "  " << rows[i].name() << "  "
                      << rows[i].step.toString() << "\n";
            printProblems(results[i]);
            if (options.count("trace") != 0)
                std::cout << traceOf(results[i]);
        }
    }
    return options.count("list") != 0 ? 0 : finish(totals);
}

int runMutants(const std::string &only, std::uint64_t seeds, unsigned jobs)
{
    MatrixTotals totals;
    for (const auto &[guard, name] : guardNames.entries) {
        if (name.substr(0, only.size()) != only)
            continue;
        const DisabledGuard disabled(guard);
        std::size_t red = 0;
        std::string first;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto rows = FaultMatrix::singles(seed);
            const auto results = runRows(rows, seed, jobs);
            for (std::size_t i = 0; i < rows.size(); ++i) {
                if (results[i].isGood())
                    continue;
                ++red;
                if (first.empty())
                    first = rows[i].name();
            }
        }
        ++(red > 0 ? totals.passed : totals.failed);
        std::cout << (red > 0 ? "noticed    " : "UNNOTICED  ") << name << "  " << red
                  << " rows turn red" << (first.empty() ? "" : ", first " + first) << std::endl;
    }
    return finish(totals);
}

int dispatch(const cxxopts::ParseResult &parsed, const std::string &help)
{
    const auto words = parsed["words"].as<std::vector<std::string>>();
    const std::string command = words.empty() ? "" : words.front();
    if (command == "run")
        return runFiles({words.begin() + 1, words.end()}, parsed["seed"].as<std::uint64_t>(),
                        parsed.count("trace") != 0);
    if (command == "list")
        return listFiles();
    if (command == "matrix")
        return runMatrix(parsed);
    if (command == "mutants")
        return runMutants(parsed["only"].as<std::string>(), parsed["seeds"].as<std::uint64_t>(),
                          parsed["jobs"].as<unsigned>());
    std::cerr << help << "\n";
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-scenario",
                             "Plays scenarios in virtual time and judges them.\n"
                             "Commands: run [FILE…], list, matrix, mutants");
    auto add = options.add_options();
    add("seed", "seed of run", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "run with seeds 1 to K", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("trace", "print the whole history");
    add("list", "print the matrix's rows, run nothing");
    add("only", "rows or guards whose name begins so",
        cxxopts::value<std::string>()->default_value(""));
    add("pairs", "two faults in one run");
    add("jobs", "threads", cxxopts::value<unsigned>()->default_value("4"));
    add("help", "print this");
    add("words", "command and files",
        cxxopts::value<std::vector<std::string>>()->default_value(""));
    options.parse_positional({"words"});
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::cout << options.help() << "\n";
            return 0;
        }
        return dispatch(parsed, options.help());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
}

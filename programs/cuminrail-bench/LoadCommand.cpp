#include "BenchCommand.h"
#include "SeedRange.h"

#include "emulation/emulation.h"
#include "runtime/files/Files.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace cuminrail {

namespace {

using namespace emulation;

/** One run: a placement over the requests of one seed. */
struct LoadCell
{
    PlacementKind placement = PlacementKind::Cuminrail;
    std::uint64_t seed = 1;
    LoadReport report;
    std::string series;
    /** Microseconds of one choice of an engine. */
    double decisionMedian = 0;
    double decisionP99 = 0;
};

/** Takes over "name=value". */
void set(DecisionSettings &decisions, const std::string &text)
{
    Reason reason;
    if (!decisions.set(text, &reason))
        throw std::invalid_argument("--set: " + reason.toString());
}

LoadPlan readPlan(const std::string &path)
{
    const auto text = contentOf(path);
    if (!text)
        throw std::invalid_argument(path + ": cannot be read");
    Reason reason;
    auto plan = parseLoadFile(*text, &reason);
    if (!plan)
        throw std::invalid_argument(path + ": " + reason.toString());
    return std::move(*plan);
}

std::vector<PlacementKind> chosenPlacements(const std::string &name)
{
    std::vector<PlacementKind> kinds;
    for (const auto &[kind, text] : placementNames.entries) {
        if (name == "all" || name == text)
            kinds.push_back(kind);
    }
    if (kinds.empty())
        throw std::invalid_argument("--placement: no placement '" + name + "'");
    return kinds;
}

double microsNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::micro>(now).count();
}

void playAll(const LoadPlan &plan, const LoadChoices &given, std::vector<LoadCell> &cells,
             unsigned threadCount)
{
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < cells.size(); i = next++) {
            LoadCell &cell = cells[i];
            const auto requests = drawArrivals(plan, cell.seed);
            LoadChoices choices = given;
            choices.placement = cell.placement;
            choices.stopwatch = microsNow;
            LoadRun run(plan, requests, choices);
            run.play();
            cell.report = run.report();
            std::vector<double> micros = run.decisionMicros();
            std::sort(micros.begin(), micros.end());
            if (!micros.empty()) {
                cell.decisionMedian = micros[micros.size() / 2];
                cell.decisionP99 = micros[micros.size() * 99 / 100];
            }
            cell.series = seriesCsv(plan, requests, run.records(), run.samples());
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < threadCount; ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
}

void printTable(const std::vector<LoadCell> &cells)
{
    std::printf("%-15s %5s %7s %7s %7s %8s %8s %8s %7s %7s\n", "placement", "seed", "earned",
                "worst_w", "worst_k", "read_kt", "kept_kt", "moved_kt", "changes", "repeats");
    for (const LoadCell &cell : cells) {
        const LoadReport &report = cell.report;
        std::printf("%-15s %5llu %7.3f %7.3f %7.3f %8.0f %8.0f %8.0f %7d %7d\n",
                    std::string(placementNames.name(cell.placement)).c_str(),
                    static_cast<unsigned long long>(cell.seed), report.earned, report.worstWindows,
                    report.worstKind, report.engines.readTokens / 1000,
                    report.engines.keptTokens / 1000, report.engines.movedTokens / 1000,
                    report.engines.stageChanges, report.engines.repeats);
        std::printf("    one choice of an engine: median %.1f us, p99 %.1f us\n",
                    cell.decisionMedian, cell.decisionP99);
        for (const KindFigures &kind : report.kinds)
            std::printf("    %-20s asked %5d on time %5d late %4d refused %4d failed %4d "
                        "first ms %5.0f p90 %5.0f pause ms p90 %4.0f\n",
                        kind.name.c_str(), kind.asked, kind.onTime, kind.late, kind.refused,
                        kind.failed, kind.firstMedianMs, kind.firstP90Ms, kind.pauseP90Ms);
    }
}

void printJson(const std::vector<LoadCell> &cells)
{
    nlohmann::json list = nlohmann::json::array();
    for (const LoadCell &cell : cells) {
        nlohmann::json row = toJson(cell.report);
        row["placement"] = std::string(placementNames.name(cell.placement));
        row["seed"] = cell.seed;
        row["decision_median_us"] = cell.decisionMedian;
        row["decision_p99_us"] = cell.decisionP99;
        list.push_back(std::move(row));
    }
    std::cout << list.dump(2) << "\n";
}

} // namespace

int runLoadCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench load",
                             "A day of load from a file, against emulated engines");
    options.add_options()("load", "a load file, as in examples/loads",
                          cxxopts::value<std::string>())(
        "placement", "cuminrail, least-busy, cache-affinity, round-robin or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "seeds", "one seed, or from A to B as A-B",
        cxxopts::value<std::string>()->default_value("1"))(
        "set", "NAME=VALUE,…: other figures for an experiment",
        cxxopts::value<std::vector<std::string>>())("threads", "runs at a time",
                                                    cxxopts::value<unsigned>()->default_value("4"))(
        "series", "write what happened in each second of the first run to this CSV file",
        cxxopts::value<std::string>())("format", "table or json",
                                       cxxopts::value<std::string>()->default_value("table"))(
        "help", "show this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("load") == 0)
        throw std::invalid_argument("--load: names no file");
    const LoadPlan plan = readPlan(arguments["load"].as<std::string>());
    const SeedRange seeds = parseSeeds(arguments["seeds"].as<std::string>());
    std::vector<LoadCell> cells;
    for (const PlacementKind kind : chosenPlacements(arguments["placement"].as<std::string>())) {
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
            cells.push_back({kind, seed, {}, {}});
    }
    LoadChoices choices;
    if (arguments.count("set") > 0) {
        for (const std::string &text : arguments["set"].as<std::vector<std::string>>())
            set(choices.decisions, text);
    }
    playAll(plan, choices, cells, std::max(1U, arguments["threads"].as<unsigned>()));
    if (arguments.count("series") > 0) {
        const std::string path = arguments["series"].as<std::string>();
        std::ofstream file(path);
        if (!(file << cells.front().series))
            throw std::invalid_argument(path + ": cannot be written");
    }
    if (arguments["format"].as<std::string>() == "json")
        printJson(cells);
    else
        printTable(cells);
    return 0;
}

} // namespace cuminrail

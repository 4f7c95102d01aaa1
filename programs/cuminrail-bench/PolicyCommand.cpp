#include "BenchCommand.h"
#include "SeedRange.h"

#include "policybench/policybench.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace cuminrail {

namespace {

using namespace policybench;

/** One cell of the table: a workload under a policy, over all seeds. */
struct Cell
{
    std::string workload;
    PolicyKind policy = PolicyKind::Cuminrail;
    std::vector<Score> scores;
};

std::vector<std::string> chosenWorkloads(const std::string &name)
{
    if (name == "all")
        return workloadNames();
    if (!makeWorkload(name, 1))
        throw std::invalid_argument("--workload: no workload '" + name + "'");
    return {name};
}

std::vector<PolicyKind> chosenPolicies(const std::string &name)
{
    std::vector<PolicyKind> kinds;
    for (const auto &entry : policyNames.entries) {
        if (name == "all" || name == entry.second)
            kinds.push_back(entry.first);
    }
    if (kinds.empty())
        throw std::invalid_argument("--policy: no policy '" + name + "'");
    return kinds;
}

/** Runs are independent of each other, so they are spread over threads. */
void runAll(std::vector<Cell> &cells, const SeedRange &seeds, unsigned threadCount)
{
    const std::size_t perCell = seeds.last - seeds.first + 1;
    for (Cell &cell : cells)
        cell.scores.resize(perCell);
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        while (true) {
            const std::size_t job = next++;
            if (job >= cells.size() * perCell)
                return;
            Cell &cell = cells[job / perCell];
            const std::uint64_t seed = seeds.first + job % perCell;
            const auto workload = makeWorkload(cell.workload, seed);
            cell.scores[job % perCell] = runPolicy(*workload, cell.policy, seed);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < threadCount; ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t half = values.size() / 2;
    return values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
}

template<typename Part>
std::vector<double> column(const Cell &cell, Part part)
{
    std::vector<double> values;
    for (const Score &score : cell.scores)
        values.push_back(static_cast<double>(part(score)));
    return values;
}

template<typename Part>
double medianOf(const Cell &cell, Part part)
{
    return median(column(cell, part));
}

double worstGoodput(const Cell &cell)
{
    const auto goodputs = column(cell, [](const Score &score) { return score.goodput; });
    return *std::min_element(goodputs.begin(), goodputs.end());
}

void printTable(const std::vector<Cell> &cells)
{
    std::printf("%-17s %-25s %8s %8s %8s %8s %9s %8s %6s %7s %8s %7s %5s\n", "workload", "policy",
                "goodput", "worst", "bound", "worst", "ttft_p95", "tpot_p95", "roles", "cost",
                "cheap", "refused", "lost");
    std::printf("%-17s %-25s %8s %8s %8s %8s %9s %8s %6s %7s %8s %7s %5s\n", "", "", "median",
                "seed", "", "customer", "ms", "ms", "", "", "share", "", "");
    for (const Cell &cell : cells) {
        std::printf(
            "%-17s %-25s %8.3f %8.3f %8.3f %8.3f %9.0f %8.1f %6.0f %7.2f %8.3f %7.0f %5.0f\n",
            cell.workload.c_str(), std::string(policyNames.name(cell.policy)).c_str(),
            medianOf(cell, [](const Score &s) { return s.goodput; }), worstGoodput(cell),
            medianOf(cell, [](const Score &s) { return s.goodputBound; }),
            medianOf(cell, [](const Score &s) { return s.worstCustomer; }),
            medianOf(cell, [](const Score &s) { return s.firstTokenP95; }),
            medianOf(cell, [](const Score &s) { return s.tokenTimeP95; }),
            medianOf(cell, [](const Score &s) { return s.roleChanges; }),
            medianOf(cell, [](const Score &s) { return s.cost; }),
            medianOf(cell, [](const Score &s) { return s.cheapShare; }),
            medianOf(cell, [](const Score &s) { return s.refusedNotRun; }),
            medianOf(cell, [](const Score &s) { return s.lost + s.failed; }));
    }
}

nlohmann::json toJson(const std::vector<Cell> &cells, const SeedRange &seeds)
{
    if (cells.size() == 1 && seeds.first == seeds.last)
        return scoreToJson(cells[0].scores[0]);
    nlohmann::json list = nlohmann::json::array();
    for (const Cell &cell : cells) {
        for (std::size_t i = 0; i < cell.scores.size(); ++i) {
            nlohmann::json row = scoreToJson(cell.scores[i]);
            row["workload"] = cell.workload;
            row["policy"] = std::string(policyNames.name(cell.policy));
            row["seed"] = seeds.first + i;
            list.push_back(std::move(row));
        }
    }
    return list;
}

} // namespace

int runPolicyCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench policy", "Admission and routing in virtual time");
    options.add_options()("workload", "a workload's name, or all",
                          cxxopts::value<std::string>()->default_value("all"))(
        "policy", "a policy's name, or all", cxxopts::value<std::string>()->default_value("all"))(
        "seed", "one seed", cxxopts::value<std::string>()->default_value("1"))(
        "seeds", "seeds from A to B", cxxopts::value<std::string>())(
        "threads", "runs at a time", cxxopts::value<unsigned>()->default_value("4"))(
        "format", "table or json",
        cxxopts::value<std::string>()->default_value("table"))("help", "show this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const SeedRange seeds =
        parseSeeds(arguments.count("seeds") > 0 ? arguments["seeds"].as<std::string>()
                                                : arguments["seed"].as<std::string>());
    std::vector<Cell> cells;
    for (const std::string &workload : chosenWorkloads(arguments["workload"].as<std::string>())) {
        for (PolicyKind kind : chosenPolicies(arguments["policy"].as<std::string>()))
            cells.push_back({workload, kind, {}});
    }
    runAll(cells, seeds, std::max(1U, arguments["threads"].as<unsigned>()));
    if (arguments["format"].as<std::string>() == "json")
        std::cout << toJson(cells, seeds).dump(2) << "\n";
    else
        printTable(cells);
    return 0;
}

} // namespace cuminrail

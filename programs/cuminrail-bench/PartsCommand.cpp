#include "BenchCommand.h"

#include "quarantine/testing/FatalPartScenario.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <malloc.h>

namespace cuminrail {

namespace {

using testing::BlameWay;
using testing::FatalPartScenario;
using testing::PartFault;

constexpr double maxCheckMicros = 5;
constexpr double maxBytesPerSecond = 4096;
constexpr double maxTableBytes = 1024 * 1024;
constexpr std::size_t maxCrashes = 5;
constexpr int statedInstances = 370;

struct WayRow
{
    std::vector<std::size_t> crashes;
    std::size_t lateCrashes = 0;
    int soundRefused = 0;
    int wrongQuarantines = 0;
    double leastBegunShare = 1;

    std::size_t median() const { return crashes[crashes.size() / 2]; }
    std::size_t over() const
    {
        return static_cast<std::size_t>(std::count_if(
            crashes.begin(), crashes.end(), [](std::size_t each) { return each > maxCrashes; }));
    }
};

WayRow playWay(BlameWay way, PartFault fault, int seeds)
{
    WayRow row;
    for (int seed = 1; seed <= seeds; ++seed) {
        FatalPartScenario::Setting setting;
        setting.way = way;
        setting.fault = fault;
        setting.isFirst = seed % 2 == 0;
        const auto result = FatalPartScenario(setting, static_cast<std::uint64_t>(seed)).run();
        row.crashes.push_back(result.crashes);
        row.lateCrashes += result.lateCrashes;
        row.soundRefused += result.soundRefused;
        row.wrongQuarantines += result.wrongQuarantines;
        row.leastBegunShare =
            std::min(row.leastBegunShare, result.begunAfter / std::max(0.01, result.begunBefore));
    }
    std::sort(row.crashes.begin(), row.crashes.end());
    return row;
}

struct SizeRow
{
    double bytesPerSecond = 0;
    std::size_t crashes = 0;
};

/** Plays a fatal part with as many engines and as much traffic as go with the instances. */
SizeRow playSize(int instances, int seconds)
{
    FatalPartScenario::Setting setting;
    setting.instances = instances;
    setting.engines = std::max(9, instances * 2);
    setting.soundPerSecond = std::min(500, instances * 5);
    FatalPartScenario scenario(setting, 1);
    auto &cluster = scenario.cluster();
    const std::uint64_t before = cluster.sentBytes;
    const auto result = scenario.run(Millis::seconds(seconds));
    // What one instance sends, another one receives.
    const double bytes = 2 * double(cluster.sentBytes - before);
    const Millis disturbed = FatalPartScenario::onset + Millis::seconds(seconds);
    return {bytes / instances / disturbed.toSeconds(), result.crashes};
}

struct CheckRow
{
    double fingerprintMicros = 0;
    double decideMicros = 0;
    double tableBytes = 0;
};

/** A request with four shared parts. */
struct Prompt
{
    std::string customer;
    std::vector<std::string> parts;
    std::string id;

    RequestContents contents() const { return testing::promptContents(customer, parts, id); }
};

Prompt promptOf(int number)
{
    return {"customer-" + std::to_string(number % 8),
            {"first", "second", "third", "middle-" + std::to_string(number % 4096)},
            std::to_string(number)};
}

/** Measures the check of a request with four shared parts while the tables are full. */
CheckRow measureCheck()
{
    using Steady = std::chrono::steady_clock;
    constexpr int repeats = 20000;
    constexpr int fill = 20000;
    const auto usedBytes = [] { return static_cast<double>(mallinfo2().uordblks); };
    testing::QuarantineCluster cluster(1, 9, 1);
    const double before = usedBytes();
    QuarantineExchange &exchange = cluster.at(0);
    for (int i = 0; i < fill; ++i) {
        const RequestContents contents = promptOf(i).contents();
        for (UpstreamIncarnation upstream = 1; upstream <= 8; ++upstream)
            exchange.upstreamEnded(contents, upstream + 10 * std::uint64_t(i % 2));
        exchange.requestAnswered(promptOf(i + fill).contents(), cluster.now);
        cluster.now += QuarantineExchange::announceDelay;
        exchange.tick();
    }
    CheckRow row;
    row.tableBytes = usedBytes() - before;
    std::vector<Prompt> prompts;
    prompts.reserve(repeats);
    for (int i = 0; i < repeats; ++i)
        prompts.push_back(promptOf(i));
    std::vector<RequestContents> contents;
    contents.reserve(repeats);
    const auto began = Steady::now();
    for (const Prompt &prompt : prompts)
        contents.push_back(prompt.contents());
    const auto hashed = Steady::now();
    int refused = 0;
    for (const RequestContents &each : contents)
        refused += exchange.decide(each) == QuarantineDecision::Refuse ? 1 : 0;
    const auto decided = Steady::now();
    const auto micros = [](auto span) {
        return std::chrono::duration<double, std::micro>(span).count() / repeats;
    };
    row.fingerprintMicros = micros(hashed - began);
    row.decideMicros = micros(decided - hashed);
    return row;
}

} // namespace

int runPartsCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench parts",
                             "Parts of prompts that end engines: ways to find them, sizes, cost.");
    options.add_options()("seeds", "runs of each way", cxxopts::value<int>()->default_value("20"))(
        "sizes", "numbers of instances",
        cxxopts::value<std::vector<int>>()->default_value("6,90,370"))(
        "size-seconds", "played for each size", cxxopts::value<int>()->default_value("4"))(
        "format", "table or json", cxxopts::value<std::string>()->default_value("table"));
    const auto arguments = options.parse(argc, argv);
    const bool isJson = arguments["format"].as<std::string>() == "json";
    nlohmann::json all{{"ways", nlohmann::json::array()}, {"sizes", nlohmann::json::array()}};
    bool isPassed = true;
    if (!isJson)
        std::printf("%-24s %-14s median  most  over 5  late  wrong  sound refused  begun\n", "way",
                    "fault");
    constexpr std::array<PartFault, 4> faults{PartFault::None, PartFault::Kills,
                                              PartFault::EngineEnds, PartFault::DomainLosses};
    for (const auto &[way, wayName] : testing::blameWayNames.entries) {
        for (const PartFault fault : faults) {
            const WayRow row = playWay(way, fault, arguments["seeds"].as<int>());
            const std::string faultName(testing::partFaultNames.name(fault));
            isPassed = isPassed && (way != BlameWay::Tried || row.wrongQuarantines == 0);
            all["ways"].push_back({{"way", std::string(wayName)},
                                   {"fault", faultName},
                                   {"median", row.median()},
                                   {"most", row.crashes.back()},
                                   {"late", row.lateCrashes},
                                   {"wrong", row.wrongQuarantines},
                                   {"sound_refused", row.soundRefused},
                                   {"begun_share", row.leastBegunShare}});
            if (!isJson)
                std::printf("%-24s %-16s %4zu  %4zu  %6zu  %4zu  %5d  %13d  %.2f\n",
                            std::string(wayName).c_str(), faultName.c_str(), row.median(),
                            row.crashes.back(), row.over(), row.lateCrashes, row.wrongQuarantines,
                            row.soundRefused, row.leastBegunShare);
        }
    }
    if (!isJson)
        std::printf("instances  bytes/s an instance  engines ended\n");
    for (const int instances : arguments["sizes"].as<std::vector<int>>()) {
        const SizeRow row = playSize(instances, arguments["size-seconds"].as<int>());
        if (instances <= statedInstances)
            isPassed = isPassed && row.bytesPerSecond <= maxBytesPerSecond;
        all["sizes"].push_back({{"instances", instances},
                                {"bytes_per_second", row.bytesPerSecond},
                                {"engines_ended", row.crashes}});
        if (!isJson)
            std::printf("%9d  %19.0f  %13zu\n", instances, row.bytesPerSecond, row.crashes);
    }
    const CheckRow check = measureCheck();
    isPassed = isPassed && check.fingerprintMicros + check.decideMicros <= maxCheckMicros
        && check.tableBytes <= maxTableBytes;
    all["check"] = {{"fingerprint_us", check.fingerprintMicros},
                    {"decide_us", check.decideMicros},
                    {"table_bytes", check.tableBytes}};
    if (isJson)
        std::cout << all.dump(2) << "\n";
    else
        std::printf("check of a request with four shared parts, tables full: fingerprints %.2f us, "
                    "decision %.2f us; tables %.0f bytes\n%s\n",
                    check.fingerprintMicros, check.decideMicros, check.tableBytes,
                    isPassed ? "all bounds met" : "A BOUND IS MISSED");
    return isPassed ? 0 : 1;
}

} // namespace cuminrail

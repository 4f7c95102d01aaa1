#include "Callers.h"
#include "CutDriver.h"
#include "CutJudge.h"
#include "FaultDriver.h"
#include "Fleet.h"
#include "IncidentDriver.h"
#include "ReleaseDriver.h"
#include "StatementJudge.h"
#include "StrayJudge.h"

#include "runtime/time/BootClock.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace cuminrail;
using namespace cuminrail::soak;

namespace {

constexpr int exitMistake = 2;
constexpr int exitBroken = 1;
constexpr std::size_t mostShown = 20;

void sleepFor(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

/** Returns what was cut in a run in which nothing may be. */
std::vector<std::string> cutCalls(const std::vector<CallResult> &results)
{
    std::vector<std::string> cut;
    for (const CallResult &result : results) {
        // A kept connection can end just as a request is sent; without a byte of an answer the
        // caller cannot tell, and may send again what has not been read.
        if (result.wasSent && !result.isWhole && result.status != 0)
            cut.push_back(result.id + ": cut by planned work");
    }
    return cut;
}

/** Returns when gateways were signalled, and links to servers were harmed. */
Disturbances disturbances(const Fleet &fleet)
{
    Disturbances all;
    for (const auto &gateway : fleet.gateways)
        all.signals[gateway->callersPort] = gateway->signalledAt();
    for (std::size_t i = 0; i < fleet.servers.size(); ++i)
        all.links["s-" + std::to_string(i)] = fleet.linkChanges(i);
    for (const auto &gateway : fleet.gateways)
        all.stops[gateway->callersPort] = gateway->stoppedAt();
    all.cuts = fleet.cutSpans();
    return all;
}

/** Starts all processes and waits until they serve. Returns where callers reach them. */
std::vector<std::uint16_t> startFleet(Fleet &fleet)
{
    constexpr Millis untilServing = Millis(1500);
    fleet.start();
    sleepFor(untilServing);
    std::vector<std::uint16_t> ports;
    for (const auto &gateway : fleet.gateways)
        ports.push_back(gateway->callersPort);
    return ports;
}

std::string incidentSummary(const SoakOptions &options, const Fleet &fleet,
                            const IncidentDriver &incidents)
{
    if (!options.hasIncidents)
        return {};
    return "; " + std::to_string(incidents.sent()) + " requests with the fatal part, under which "
        + std::to_string(fleet.crashes().size()) + " servers ended";
}

bool hasLateInBody(const SoakOptions &options)
{
    const auto &faults = options.responseFaults;
    return std::any_of(faults.begin(), faults.end(), [](ResponseFault fault) {
        return fault == ResponseFault::SecondInNextBody || fault == ResponseFault::RefusalInNextBody
            || fault == ResponseFault::AnonymousInNextBody;
    });
}

/** Has all servers refuse some requests, so that there are refusals to spoil. */
void refuseSome(const Fleet &fleet, int percent)
{
    platform::ServerFaultRates rates;
    rates.refuses = percent;
    for (const auto &server : fleet.servers)
        server->setFaultRates(rates);
}

int runSeed(const SoakOptions &options, StreamFigures &allStreams)
{
    Fleet fleet(options);
    Callers callers(startFleet(fleet), options.callers, options.seed);
    callers.hasPrompts = options.hasIncidents;
    callers.hasLargeBodies = hasLateInBody(options);
    callers.start();
    FaultDriver driver(fleet, options.seed);
    if (!options.responseFaults.empty())
        fleet.onThread([&fleet, &options] { refuseSome(fleet, options.refusals); });
    CutDriver cuts(fleet, options.seed);
    ReleaseDriver releases(fleet, options.seed);
    IncidentDriver incidents(fleet, callers, options.seed);
    constexpr int stepsOfCalmStop = 5;
    int steps = 0;
    // A single fault of responses is played alone.
    const bool hasOneFault = options.responseFaults.size() == 1;
    const auto random = seededRandom(options.seed + 77);
    const Millis end = bootTime() + Millis::seconds(options.seconds);
    while (bootTime() < end) {
        // Stops so rare that some gateways are neither cut nor stopping show what cuts cost.
        const bool isRare = options.hasCuts && driver.isCalm();
        if (!hasOneFault && (!isRare || ++steps % stepsOfCalmStop == 0))
            driver.step();
        fleet.notePeaks();
        driver.reap();
        if (options.hasCuts)
            cuts.step();
        if (options.hasReleases)
            releases.step();
        if (options.hasIncidents)
            incidents.step();
        sleepFor(Millis(static_cast<std::int64_t>(200 + random() % 900)));
    }
    driver.heal();
    callers.favour(-1);
    sleepFor(Millis(4000));
    const Millis withdrawnAt = driver.withdraw();
    sleepFor(Millis(6500));
    callers.stop();
    fleet.notePeaks();
    const std::vector<SpoiltResponse> spoilt = fleet.spoilt();
    std::vector<std::string> broken = fleet.stop();
    auto results = callers.results();
    markEndless(results, spoilt);
    const auto rules = judge(results, fleet.record(), withdrawnAt);
    broken.insert(broken.end(), rules.begin(), rules.end());
    const StreamFigures streams = judgeStreams(
        results, [&fleet](const auto &...span) { return fleet.versions().serving(span...); },
        broken);
    // Gateways that know no configuration, or no other gateway, since the store is away, refuse
    // what comes on new connections, as all streams do that are taken up.
    if (driver.isCalm())
        allStreams.add(streams);
    const auto statements = judgeStatements(results, fleet.record(), disturbances(fleet));
    broken.insert(broken.end(), statements.begin(), statements.end());
    broken.insert(broken.end(), driver.complaints().begin(), driver.complaints().end());
    const auto ended = incidents.judge();
    broken.insert(broken.end(), ended.begin(), ended.end());
    const bool isSpoilt = !options.responseFaults.empty();
    if (driver.isCalm() && !options.hasCuts && !options.hasReleases && !options.hasIncidents
        && !isSpoilt) {
        const auto cut = cutCalls(results);
        broken.insert(broken.end(), cut.begin(), cut.end());
    }
    std::string cutSummary;
    if (driver.isCalm() && options.hasCuts) {
        const auto worse = judgeCuts(results, disturbances(fleet), cutSummary);
        broken.insert(broken.end(), worse.begin(), worse.end());
        cutSummary = "; " + cutSummary;
    }
    if (hasOneFault) {
        const auto late = judgeDeadlines(results);
        broken.insert(broken.end(), late.begin(), late.end());
    }
    if (isSpoilt) {
        const auto large = judgeMemory(fleet);
        broken.insert(broken.end(), large.begin(), large.end());
    }
    std::size_t served = 0;
    for (const CallResult &result : results)
        served += result.status == 200 && result.isWhole ? 1 : 0;
    if (served * 4 < results.size())
        broken.emplace_back("less than a quarter of the requests were served");
    std::cout << "seed " << options.seed << (driver.isCalm() ? " (planned work only)" : "") << ": "
              << results.size() << " requests, " << served << " served, " << broken.size()
              << " promises broken" << (options.hasReleases ? "; " + streams.text() : "")
              << cutSummary << incidentSummary(options, fleet, incidents) << "\n";
    if (isSpoilt) {
        std::cout << straySummary(results, spoilt, fleet, broken);
        writeTimeline(options.directory + "/timeline.log", results, spoilt, fleet.record());
    }
    for (const std::string &each : options.hasReleases ? streams.lost : std::vector<std::string>())
        std::cout << "  not taken up: " << each << "\n";
    const std::size_t shown = std::min(broken.size(), mostShown);
    for (std::size_t i = 0; i < shown; ++i)
        std::cout << "  " << broken[i] << "\n";
    if (shown < broken.size())
        std::cout << "  and " << broken.size() - shown << " more\n";
    return broken.empty() ? 0 : exitBroken;
}

/** What callers saw in a run without faults. */
struct FloodFigures
{
    std::size_t requests = 0;
    double servedShare = 0;
    double medianMillis = 0;
    double p99Millis = 0;
};

/**
    A flooded gateway may answer this much later than one whose log is read. A log that blocks its
    writer stops answers for good, so the bounds leave room for a machine that is busy meanwhile.
*/
constexpr double floodFactor = 3;
constexpr double floodMillis = 200;

FloodFigures runFlood(const SoakOptions &options)
{
    Fleet fleet(options);
    Callers callers(startFleet(fleet), options.callers, options.seed);
    callers.start();
    sleepFor(Millis::seconds(options.seconds));
    callers.stop();
    fleet.stop();
    FloodFigures figures;
    std::vector<double> took;
    for (const CallResult &result : callers.results()) {
        ++figures.requests;
        if (result.status == 200 && result.isWhole)
            took.push_back(result.tookMillis);
    }
    if (took.empty())
        return figures;
    std::sort(took.begin(), took.end());
    figures.servedShare = double(took.size()) / double(figures.requests);
    figures.medianMillis = took[took.size() / 2];
    figures.p99Millis = took[took.size() * 99 / 100];
    return figures;
}

/**
    The same load twice: logs that are read, and logs that nobody reads. A log that blocks its
   writer shows as requests that are not answered any more once the pipe is full.
*/
int compareFlood(SoakOptions options)
{
    const std::string base = options.directory;
    std::vector<FloodFigures> figures;
    for (const bool isUnread : {false, true}) {
        options.isLogUnread = isUnread;
        options.directory = base + (isUnread ? "/unread" : "/read");
        std::filesystem::create_directories(options.directory);
        figures.push_back(runFlood(options));
        const FloodFigures &seen = figures.back();
        std::cout << (isUnread ? "log unread: " : "log read:   ") << seen.requests
                  << " requests, served " << seen.servedShare << ", median " << seen.medianMillis
                  << " ms, p99 " << seen.p99Millis << " ms\n";
    }
    std::filesystem::remove_all(base);
    const bool isSlower = figures[1].p99Millis > floodFactor * figures[0].p99Millis + floodMillis;
    const bool isWorse = figures[1].servedShare < figures[0].servedShare - 0.01
        || figures[1].requests * 5 < figures[0].requests * 4;
    std::cout << (isSlower || isWorse ? "an unread log slows requests\n"
                                      : "an unread log costs nothing but its lines\n");
    return isSlower || isWorse ? exitBroken : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("cuminrail-soak", "Real gateways under random faults from outside.");
    options.add_options()("gateway", "the program to run", cxxopts::value<std::string>())(
        "other-gateway",
        "another build, which every second gateway runs; only the first one is cut then",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "how many", cxxopts::value<int>()->default_value("1"))(
        "seconds", "of faults for each", cxxopts::value<int>()->default_value("15"))(
        "instances", "gateways", cxxopts::value<int>()->default_value("3"))(
        "servers", "behind all gateways; 0: as many as the other options need",
        cxxopts::value<int>()->default_value("0"))("callers", "at the same time",
                                                   cxxopts::value<int>()->default_value("12"))(
        "cuts", "gateways lose the path to all servers for some seconds, besides the other faults")(
        "releases", "servers are replaced by others with another version of their software")(
        "incidents",
        "one part of prompts crashes servers, most new connections go to one gateway, and "
        "responses "
        "end with their connections")("stray-responses",
                                      "responses come twice, cut short or without end, besides the "
                                      "other faults; with the name of "
                                      "one such fault it is played alone",
                                      cxxopts::value<std::string>()->implicit_value("all"))(
        "refusals", "percent of requests that servers refuse beside spoilt responses",
        cxxopts::value<int>()->default_value("5"))(
        "flood", "no faults: the same load with logs read, and with logs that nobody reads")(
        "keep", "directory for settings and logs; default: one that goes when all is well",
        cxxopts::value<std::string>());
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("gateway") == 0) {
            std::cerr << options.help() << "\n";
            return exitMistake;
        }
        SoakOptions soak;
        soak.gateway = arguments["gateway"].as<std::string>();
        soak.otherGateway = arguments["other-gateway"].as<std::string>();
        soak.seconds = arguments["seconds"].as<int>();
        soak.instances = arguments["instances"].as<int>();
        soak.callers = arguments["callers"].as<int>();
        soak.refusals = arguments["refusals"].as<int>();
        if (soak.refusals < 0 || soak.refusals > 100)
            throw std::runtime_error("--refusals takes a percentage");
        soak.hasCuts = arguments.count("cuts") > 0 && soak.instances > 1;
        soak.hasReleases = arguments.count("releases") > 0;
        soak.hasIncidents = arguments.count("incidents") > 0;
        if (arguments.count("stray-responses") > 0) {
            const auto faults = responseFaultsNamed(arguments["stray-responses"].as<std::string>());
            if (!faults)
                throw std::runtime_error("no such fault of responses");
            soak.responseFaults = *faults;
            soak.servers = 6;
        }
        constexpr int serversInReleases = 6;
        constexpr int serversInIncidents = 9;
        if (soak.hasIncidents)
            soak.servers = serversInIncidents;
        if (soak.hasReleases)
            soak.servers = serversInReleases;
        if (arguments["servers"].as<int>() > 0)
            soak.servers = arguments["servers"].as<int>();
        const std::string base = arguments.count("keep") > 0
            ? arguments["keep"].as<std::string>()
            : (std::filesystem::temp_directory_path() / ("soak-" + std::to_string(getpid())))
                  .string();
        if (arguments.count("flood") > 0) {
            soak.directory = base;
            return compareFlood(soak);
        }
        int failed = 0;
        StreamFigures streams;
        const int seeds = arguments["seeds"].as<int>();
        for (int i = 0; i < seeds; ++i) {
            soak.seed = arguments["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
            soak.directory = base + "/" + std::to_string(soak.seed);
            std::filesystem::create_directories(soak.directory);
            const bool isBroken = runSeed(soak, streams) != 0;
            failed += isBroken ? 1 : 0;
            if (isBroken)
                std::cout << "  logs: " << soak.directory << std::endl;
            else if (arguments.count("keep") == 0)
                std::filesystem::remove_all(soak.directory);
        }
        if (soak.hasReleases)
            std::cout << streams.text() << "\n";
        if (!streams.isShareKept()) {
            std::cout << "  streams went on less often than new ones began\n";
            failed = std::max(failed, 1);
        }
        std::cout << seeds - failed << " passed, " << failed << " failed" << std::endl;
        return failed == 0 ? 0 : exitBroken;
    } catch (const std::exception &error) {
        std::cerr << "cuminrail-soak: " << error.what() << "\n";
        return exitMistake;
    }
}

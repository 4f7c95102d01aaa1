#include "BenchCommand.h"

#include "configsync/measure/ConfigCluster.h"
#include "engineview/measure/ViewCluster.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::size_t domainCount = 7;
constexpr std::size_t regionCount = 2;
constexpr Millis settleTime = Millis::seconds(60);
constexpr Millis measuredTime = Millis::seconds(60);
constexpr double percent = 100;
constexpr double bytesPerKibibyte = 1024;
/** Virtual instances start from this size, so that the program's own memory does not count. */
constexpr std::size_t smallestForMemory = 24;

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec)
        + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/** Membership and configuration together, at one size. */
struct MemberRow
{
    std::size_t instances = 0;
    double bytesPerSecond = 0;
    double framesPerSecond = 0;
    double corePercent = 0;
    double kibibytes = 0;
    double storeCallsPerSecond = 0;
    Millis inForceWorst;
    Millis withdrawnWorst;
};

/** The view of all engines, at one size. */
struct ViewRow
{
    std::size_t instances = 0;
    std::size_t engines = 0;
    double bytesPerSecond = 0;
    double framesPerSecond = 0;
    double pollsPerSecond = 0;
    double corePercent = 0;
    double kibibytes = 0;
    Millis oldestReport;
};

std::uint64_t callsOf(const StoreCallCounts &counts)
{
    return counts.gets + counts.lists + counts.puts + counts.removes + counts.watches;
}

MemberRow measureMembers(std::size_t instances)
{
    ClusterShape shape;
    shape.instances = instances;
    shape.domains = domainCount;
    shape.regions = regionCount;
    MemberRow row;
    row.instances = instances;
    const double memoryBefore = residentBytes();
    ConfigCluster cluster(shape);
    cluster.startAll();
    cluster.apply({ConfigCluster::keyHash(1)}, {});
    cluster.runFor(settleTime);
    row.kibibytes =
        (residentBytes() - memoryBefore) / bytesPerKibibyte / static_cast<double>(instances);

    cluster.instances().resetCounts();
    const std::uint64_t callsBefore = callsOf(cluster.store().counts());
    const double processorBefore = processorSeconds();
    cluster.runFor(measuredTime);
    const double share = 1.0 / (static_cast<double>(instances) * measuredTime.toSeconds());
    row.corePercent = (processorSeconds() - processorBefore) * share * percent;
    for (std::size_t i = 0; i < instances; ++i) {
        row.bytesPerSecond += static_cast<double>(cluster.instances().at(i).bytesSent) * share;
        row.framesPerSecond += static_cast<double>(cluster.instances().at(i).framesSent) * share;
    }
    row.storeCallsPerSecond = static_cast<double>(callsOf(cluster.store().counts()) - callsBefore)
        / measuredTime.toSeconds();

    const Millis limit = Millis::seconds(60);
    row.inForceWorst =
        cluster.runUntilInForce(cluster.apply({ConfigCluster::keyHash(1)}, {}), limit);
    row.withdrawnWorst =
        cluster.runUntilInForce(cluster.apply({}, {ConfigCluster::keyHash(1)}), limit);
    return row;
}

ViewRow measureView(std::size_t instances, std::size_t engines)
{
    ViewCluster::Size size;
    size.instances = instances;
    size.engines = engines;
    size.domains = domainCount;
    ViewRow row;
    row.instances = instances;
    row.engines = engines;
    const double memoryBefore = residentBytes();
    ViewCluster cluster(size);
    cluster.runFor(settleTime);
    row.kibibytes =
        (residentBytes() - memoryBefore) / bytesPerKibibyte / static_cast<double>(instances);
    cluster.resetTraffic();
    const double processorBefore = processorSeconds();
    cluster.runFor(measuredTime);
    const double share = 1.0 / (static_cast<double>(instances) * measuredTime.toSeconds());
    row.corePercent = (processorSeconds() - processorBefore) * share * percent;
    const ViewCluster::Traffic &traffic = cluster.traffic();
    const auto overhead =
        static_cast<double>(traffic.frames) * static_cast<double>(VirtualCluster::linkOverhead);
    row.bytesPerSecond = (static_cast<double>(traffic.bytes) + overhead) * share;
    row.framesPerSecond = static_cast<double>(traffic.frames) * share;
    row.pollsPerSecond = static_cast<double>(traffic.polls) * share;
    row.oldestReport = cluster.oldestReport();
    return row;
}

nlohmann::json toJson(const MemberRow &row)
{
    return {{"instances", row.instances},
            {"bytes_per_second", row.bytesPerSecond},
            {"frames_per_second", row.framesPerSecond},
            {"core_percent", row.corePercent},
            {"kibibytes", row.kibibytes},
            {"store_calls_per_second", row.storeCallsPerSecond},
            {"in_force_worst_ms", row.inForceWorst.count()},
            {"withdrawn_worst_ms", row.withdrawnWorst.count()}};
}

nlohmann::json toJson(const ViewRow &row)
{
    return {{"instances", row.instances},
            {"engines", row.engines},
            {"bytes_per_second", row.bytesPerSecond},
            {"frames_per_second", row.framesPerSecond},
            {"polls_per_second", row.pollsPerSecond},
            {"core_percent", row.corePercent},
            {"kibibytes", row.kibibytes},
            {"oldest_report_ms", row.oldestReport.count()}};
}

void printTables(const std::vector<MemberRow> &members, const std::vector<ViewRow> &views)
{
    std::printf("membership and configuration, for each instance at rest\n");
    std::printf("%9s %8s %8s %7s %7s %11s %11s %12s\n", "instances", "bytes/s", "frames/s", "core%",
                "KiB", "all calls/s", "in force ms", "withdrawn ms");
    for (const MemberRow &row : members) {
        std::printf("%9zu %8.0f %8.1f %7.3f %7.0f %11.1f %11lld %12lld\n", row.instances,
                    row.bytesPerSecond, row.framesPerSecond, row.corePercent, row.kibibytes,
                    row.storeCallsPerSecond, static_cast<long long>(row.inForceWorst.count()),
                    static_cast<long long>(row.withdrawnWorst.count()));
    }
    std::printf("\nview of all engines, for each instance\n");
    std::printf("%9s %8s %8s %8s %8s %7s %7s %10s\n", "instances", "engines", "bytes/s", "frames/s",
                "polls/s", "core%", "KiB", "oldest ms");
    for (const ViewRow &row : views) {
        std::printf("%9zu %8zu %8.0f %8.1f %8.2f %7.3f %7.0f %10lld\n", row.instances, row.engines,
                    row.bytesPerSecond, row.framesPerSecond, row.pollsPerSecond, row.corePercent,
                    row.kibibytes, static_cast<long long>(row.oldestReport.count()));
    }
}

} // namespace

int runControlCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench control",
                             "What control costs each instance, in virtual time");
    options.add_options()("format", "table or json",
                          cxxopts::value<std::string>()->default_value("table"))(
        "small", "leave out the largest sizes")("help", "show this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const std::string format = parsed["format"].as<std::string>();
    if (format != "table" && format != "json") {
        std::cerr << "cuminrail-bench control: --format is table or json\n";
        return usageError;
    }
    const bool isSmall = parsed.count("small") > 0;
    std::vector<std::size_t> sizes = {6, smallestForMemory, 96};
    std::vector<std::pair<std::size_t, std::size_t>> views = {{24, 60}, {24, 240}, {24, 840}};
    if (!isSmall) {
        sizes.push_back(370);
        views.emplace_back(96, 840);
        views.emplace_back(370, 840);
    }
    std::vector<MemberRow> memberRows;
    std::vector<ViewRow> viewRows;
    memberRows.reserve(sizes.size());
    viewRows.reserve(views.size());
    for (const std::size_t size : sizes)
        memberRows.push_back(measureMembers(size));
    for (const auto &[instances, engines] : views)
        viewRows.push_back(measureView(instances, engines));
    if (format == "table") {
        printTables(memberRows, viewRows);
        return 0;
    }
    nlohmann::json json = {{"members", nlohmann::json::array()},
                           {"views", nlohmann::json::array()}};
    for (const MemberRow &row : memberRows)
        json["members"].push_back(toJson(row));
    for (const ViewRow &row : viewRows)
        json["views"].push_back(toJson(row));
    std::cout << json.dump(2) << "\n";
    return 0;
}

} // namespace cuminrail

#include "BenchCommand.h"

#include "keyedrecords/testing/RecordCluster.h"
#include "platform/testing/GatewayCluster.h"
#include "streams/testing/StreamCluster.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace cuminrail {

namespace {

using testing::GatewayCluster;
using testing::RecordCluster;
using testing::StreamCluster;

constexpr double maxLookUpMillis = 3;
constexpr double maxBytesPerSecond = 4096;
constexpr double maxTableBytes = 1024 * 1024;
constexpr double leastShare = 0.95;
constexpr double leastShareDomain = 0.9;
/** Streams that an instance of the stated size begins each second. */
constexpr int streamsPerSecond = 13;

/** What a loss takes away at once. */
enum class Loss : std::uint8_t { One, Domain, Half };

inline constexpr NameTable<Loss, 3> lossNames{{{
    {Loss::One, "one instance"},
    {Loss::Domain, "a failure domain"},
    {Loss::Half, "half of all"},
}}};

struct ShareRow
{
    std::size_t copies = 0;
    Loss loss = Loss::One;
    StreamCluster::Counts counts;

    double share() const
    {
        return counts.possible == 0 ? 0 : double(counts.wentOn) / counts.possible;
    }
};

bool isLost(StreamCluster &cluster, Loss loss, int victim, int i)
{
    switch (loss) {
    case Loss::One:
        return i == victim;
    case Loss::Domain:
        return cluster.domainOf(i) == cluster.domainOf(victim);
    case Loss::Half:
        return (i + victim) % cluster.count() < cluster.count() / 2;
    }
    return false;
}

/** Plays a release forth and back with losses of instances in virtual time. */
ShareRow playLosses(std::size_t copies, Loss loss, int seeds)
{
    constexpr int steps = 18;
    constexpr int stepsPerLoss = 6;
    constexpr int streamsPerStep = 20;
    ShareRow row{copies, loss, {}};
    for (int seed = 0; seed < seeds; ++seed) {
        StreamCluster cluster(6, 3, static_cast<std::uint64_t>(seed), copies);
        for (int number = 0; number < steps; ++number) {
            for (int i = 0; i < streamsPerStep; ++i)
                cluster.beginStream(cluster.pick(cluster.count()));
            const bool isBack = number >= steps / 3 && number < steps * 2 / 3;
            cluster.replaceUpstream(isBack ? "v1.1" : "v1", isBack ? "v1" : "v1.1");
            cluster.advance(Millis(300));
            if (number % stepsPerLoss != 2)
                continue;
            const int victim = cluster.pick(cluster.count());
            for (int i = 0; i < cluster.count(); ++i) {
                if (isLost(cluster, loss, victim, i))
                    cluster.kill(i);
            }
            cluster.advance(Millis(1000));
            for (int i = 0; i < cluster.count(); ++i) {
                if (cluster.dead.count(i) > 0)
                    cluster.start(i);
            }
        }
        row.counts.takenUp += cluster.counts.takenUp;
        row.counts.possible += cluster.counts.possible;
        row.counts.wentOn += cluster.counts.wentOn;
        row.counts.mixed += cluster.counts.mixed;
    }
    return row;
}

struct SizeRow
{
    int instances = 0;
    double bytesPerSecond = 0;
    double mostBytesPerSecond = 0;
    double framesPerSecond = 0;
    double mostTableBytes = 0;
};

/** Plays records of all streams while several versions serve. */
SizeRow playSize(int instances)
{
    constexpr int seconds = 2;
    constexpr int domains = 5;
    RecordCluster cluster(instances, domains, 1);
    RecordKey key = 1;
    for (int millis = 0; millis < seconds * 1000; millis += 10) {
        const auto due = std::uint64_t(instances) * streamsPerSecond * std::uint64_t(millis) / 1000;
        for (; key <= due; ++key)
            cluster.at(cluster.pick(instances)).publish(StableHash().add(key).value(), 7, nullptr);
        cluster.advance(Millis(10));
    }
    SizeRow row;
    row.instances = instances;
    row.framesPerSecond = double(cluster.frames) / seconds / instances;
    row.bytesPerSecond = 2 * double(cluster.bytes) / seconds / instances;
    for (int i = 0; i < instances; ++i) {
        const double lifetime = cluster.at(i).lifetime().toSeconds();
        row.mostBytesPerSecond =
            std::max(row.mostBytesPerSecond, double(cluster.bytesAt[std::size_t(i)]) / seconds);
        row.mostTableBytes = std::max(row.mostTableBytes,
                                      double(cluster.at(i).table().bytes()) * lifetime / seconds);
    }
    return row;
}

struct LookUpRow
{
    int found = 0;
    int lookUps = 0;
    double p50 = 0;
    double p99 = 0;
};

/** Measures look-ups between instances over links on loopback. */
LookUpRow measureLookUps(int streams)
{
    using Steady = std::chrono::steady_clock;
    GatewayCluster cluster(6, 4, {}, 3);
    LookUpRow row;
    // While one version serves, nothing is looked up.
    for (std::size_t i = 0; i < cluster.upstreams.size(); ++i)
        cluster.upstreams[i]->setSoftwareVersion(i % 2 == 0 ? "v1" : "v1.1");
    if (!cluster.start())
        return row;
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    Route route = StreamCluster::route();
    const std::string service = "svc";
    const RecordValue value = StreamOrigins::valueOf(service, "v1");
    const auto keyOf = [](int i) {
        return StreamOrigins::keyOf("c", "stream", "look-up-" + std::to_string(i));
    };
    for (int i = 0; i < streams; ++i) {
        cluster.with(0, [&](Gateway &gateway) {
            gateway.context().origins->began(keyOf(i), route, value, [] {});
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::vector<double> took;
    for (int i = 0; i < streams; ++i) {
        std::atomic<bool> isDone{false};
        Steady::time_point end;
        const auto began = Steady::now();
        const std::size_t asker = 1 + std::size_t(i) % 5;
        cluster.with(asker, [&](Gateway &gateway) {
            gateway.context().origins->resolve(
                {keyOf(i), "look-up-" + std::to_string(i), route}, [&](const StreamOrigin &origin) {
                    row.found += origin.status == OriginStatus::Known ? 1 : 0;
                    end = Steady::now();
                    isDone = true;
                });
        });
        while (!isDone)
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        took.push_back(std::chrono::duration<double, std::milli>(end - began).count());
    }
    std::sort(took.begin(), took.end());
    row.lookUps = streams;
    row.p50 = took[took.size() / 2];
    row.p99 = took[took.size() * 99 / 100];
    return row;
}

bool isMet(const ShareRow &row)
{
    if (row.counts.mixed > 0)
        return false;
    if (row.copies != RecordExchange::defaultCopies || row.loss == Loss::Half)
        return true;
    return row.share() >= (row.loss == Loss::One ? leastShare : leastShareDomain);
}

} // namespace

int runStreamsCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench streams",
                             "Streams taken up at other instances while software versions change.");
    options.add_options()("seeds", "runs of each loss", cxxopts::value<int>()->default_value("20"))(
        "streams", "look-ups on loopback", cxxopts::value<int>()->default_value("600"))(
        "sizes", "numbers of instances",
        cxxopts::value<std::vector<int>>()->default_value("6,90,370,986,2000"))(
        "format", "table or json", cxxopts::value<std::string>()->default_value("table"));
    const auto arguments = options.parse(argc, argv);
    const bool isJson = arguments["format"].as<std::string>() == "json";
    nlohmann::json all{{"shares", nlohmann::json::array()}, {"sizes", nlohmann::json::array()}};
    bool isPassed = true;
    if (!isJson)
        std::printf("copies  loss              taken up  possible  went on  share  mixed\n");
    for (const std::size_t copies :
         {std::size_t(0), std::size_t(1), std::size_t(2), std::size_t(3)}) {
        for (const auto &[loss, name] : lossNames.entries) {
            const ShareRow row = playLosses(copies, loss, arguments["seeds"].as<int>());
            isPassed = isPassed && isMet(row);
            const auto &counts = row.counts;
            all["shares"].push_back({{"copies", copies},
                                     {"loss", std::string(name)},
                                     {"taken_up", counts.takenUp},
                                     {"possible", counts.possible},
                                     {"share", row.share()},
                                     {"mixed", counts.mixed}});
            if (!isJson)
                std::printf("%6zu  %-16s  %8d  %8d  %7d  %.3f  %5d\n", copies,
                            std::string(name).c_str(), counts.takenUp, counts.possible,
                            counts.wentOn, row.share(), counts.mixed);
        }
    }
    if (!isJson)
        std::printf("instances  bytes/s (mean, most)  frames/s  table bytes (most)\n");
    constexpr int statedInstances = 370;
    for (const int instances : arguments["sizes"].as<std::vector<int>>()) {
        const SizeRow row = playSize(instances);
        if (instances <= statedInstances)
            isPassed = isPassed && row.bytesPerSecond <= maxBytesPerSecond
                && row.mostTableBytes <= maxTableBytes;
        all["sizes"].push_back({{"instances", instances},
                                {"bytes_per_second", row.bytesPerSecond},
                                {"most_bytes_per_second", row.mostBytesPerSecond},
                                {"table_bytes", row.mostTableBytes}});
        if (!isJson)
            std::printf("%9d  %9.0f %9.0f  %8.1f  %12.0f\n", instances, row.bytesPerSecond,
                        row.mostBytesPerSecond, row.framesPerSecond, row.mostTableBytes);
    }
    const LookUpRow lookUps = measureLookUps(arguments["streams"].as<int>());
    isPassed = isPassed && lookUps.found == lookUps.lookUps && lookUps.p99 <= maxLookUpMillis;
    all["look_ups"] = {{"count", lookUps.lookUps},
                       {"found", lookUps.found},
                       {"p50_ms", lookUps.p50},
                       {"p99_ms", lookUps.p99}};
    if (isJson)
        std::cout << all.dump(2) << "\n";
    else
        std::printf("look-ups on loopback: %d of %d found, p50 %.2f ms, p99 %.2f ms\n%s\n",
                    lookUps.found, lookUps.lookUps, lookUps.p50, lookUps.p99,
                    isPassed ? "all bounds met" : "A BOUND IS MISSED");
    return isPassed ? 0 : 1;
}

} // namespace cuminrail

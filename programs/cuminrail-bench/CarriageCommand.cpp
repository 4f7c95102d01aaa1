#include "BenchCommand.h"

#include "platform/testing/GatewayCluster.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>

namespace cuminrail {

namespace {

using testing::GatewayCluster;
using testing::TestSocket;

/** From this time after a cut on, callers must not notice it. */
constexpr Millis allowance(3000);
constexpr double maxAddedMillis = 5;
constexpr double requiredShare = 0.95;

void sleepFor(Millis duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

struct DelayRow
{
    double p50 = 0;
    double p99 = 0;
};

/** Returns how long an instance takes for requests that follow one another. */
DelayRow delaysAt(const GatewayCluster &cluster, std::size_t instance, int requests)
{
    std::vector<double> took;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "d" + std::to_string(instance) + "-" + std::to_string(i);
        const auto began = std::chrono::steady_clock::now();
        if (cluster.call(instance, "/safe/x", id).rfind("HTTP/1.1 200", 0) != 0)
            continue;
        const std::chrono::duration<double, std::milli> span =
            std::chrono::steady_clock::now() - began;
        took.push_back(span.count());
    }
    if (took.empty())
        return {1e9, 1e9};
    std::sort(took.begin(), took.end());
    return {took[took.size() / 2], took[took.size() * 99 / 100]};
}

/** The part of the platform's load balancer on which readiness has an effect. */
class BalancerModel
{
public:
    BalancerModel(GatewayCluster &cluster, std::size_t instances, std::size_t domains)
        : cluster_(cluster), domains_(domains), misses_(instances)
    {
        thread_ = std::thread([this] { probe(); });
    }
    ~BalancerModel()
    {
        isStopping_ = true;
        thread_.join();
    }
    BalancerModel(const BalancerModel &) = delete;
    BalancerModel &operator=(const BalancerModel &) = delete;

    /** Returns the instance for a new connection of a caller in a domain. */
    std::size_t choose(std::size_t domain, std::uint64_t random) const
    {
        std::vector<std::size_t> all;
        std::vector<std::size_t> ready;
        for (std::size_t i = domain; i < misses_.size(); i += domains_) {
            all.push_back(i);
            if (misses_[i] < missesUntilOut)
                ready.push_back(i);
        }
        const auto &from = ready.size() * 2 < all.size() ? all : ready;
        return from[random % from.size()];
    }

private:
    static constexpr int missesUntilOut = 2;

    void probe()
    {
        while (!isStopping_) {
            for (std::size_t i = 0; i < misses_.size(); ++i) {
                TestSocket socket = TestSocket::connectTo(cluster_.readinessPort(i));
                socket.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                const bool isReady = socket.readMessage().rfind("HTTP/1.1 200", 0) == 0;
                misses_[i] = isReady ? 0 : misses_[i] + 1;
            }
            sleepFor(Millis(1000));
        }
    }

    GatewayCluster &cluster_;
    std::size_t domains_;
    std::vector<std::atomic<int>> misses_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

struct Shares
{
    int cutSent = 0;
    int cutServed = 0;
    int othersSent = 0;
    int othersServed = 0;

    double cut() const { return cutSent == 0 ? 1 : double(cutServed) / cutSent; }
    double others() const { return othersSent == 0 ? 1 : double(othersServed) / othersSent; }
};

/** Callers that keep connections for some requests, in a system of which instances are cut. */
Shares playCut(bool carries, PathCut shape, const std::vector<std::size_t> &cut)
{
    constexpr std::size_t instances = 6;
    constexpr std::size_t domains = 3;
    constexpr int callers = 12;
    constexpr int requestsOfConnection = 30;
    constexpr Millis duration(6000);
    DecisionSettings decisions;
    decisions.carryWhenCut = carries ? 1 : 0;
    GatewayCluster cluster(instances, 6, decisions, domains);
    cluster.start();
    const BalancerModel balancer(cluster, instances, domains);
    std::atomic<std::int64_t> countFrom{Millis::never().count()};
    std::atomic<bool> isStopping{false};
    std::mutex mutex;
    Shares shares;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            const auto random = seededRandom(static_cast<std::uint64_t>(number));
            TestSocket socket;
            std::size_t instance = 0;
            for (int i = 0; !isStopping; ++i) {
                if (i % requestsOfConnection == 0 || !socket.isOpen()) {
                    instance = balancer.choose(std::size_t(number) % domains, random());
                    socket = TestSocket::connectTo(cluster.callersPort(instance));
                }
                const std::string id = std::to_string(number) + "-" + std::to_string(i);
                const Millis sentAt = bootTime();
                socket.send(platform::callerRequest("/safe/x", id, "key-north", Millis(3000)));
                const bool isServed = socket.readMessage().rfind("HTTP/1.1 200", 0) == 0;
                if (sentAt.count() >= countFrom) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    const bool isCut = std::count(cut.begin(), cut.end(), instance) > 0;
                    ++(isCut ? shares.cutSent : shares.othersSent);
                    (isCut ? shares.cutServed : shares.othersServed) += isServed ? 1 : 0;
                }
                sleepFor(Millis(20));
            }
        });
    }
    sleepFor(Millis(1500));
    for (const std::size_t each : cut)
        cluster.cut(each, shape);
    countFrom = (bootTime() + allowance).count();
    sleepFor(allowance + duration);
    isStopping = true;
    for (std::thread &thread : threads)
        thread.join();
    return shares;
}

struct CutRow
{
    const char *name;
    std::vector<std::size_t> cut;
};

nlohmann::json playWays(bool isText, bool &isGood)
{
    const std::vector<CutRow> rows{
        {"one of six", {0}}, {"a domain", {0, 3}}, {"all but one", {0, 1, 2, 3, 4}}};
    nlohmann::json played = nlohmann::json::array();
    for (const CutRow &row : rows) {
        for (const bool carries : {false, true}) {
            const Shares shares = playCut(carries, PathCut::Hang, row.cut);
            const char *way = carries ? "a peer carries" : "not ready, refused";
            played.push_back({{"cut", row.name},
                              {"way", way},
                              {"cut_served", shares.cut()},
                              {"cut_sent", shares.cutSent},
                              {"others_served", shares.others()}});
            if (isText)
                std::printf("%-12s %-19s %6d %8.3f %8.3f\n", row.name, way, shares.cutSent,
                            shares.cut(), shares.others());
            isGood = isGood && (!carries || shares.cut() >= requiredShare * shares.others());
        }
    }
    return played;
}

} // namespace

int runCarriageCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench carriage",
                             "Requests of instances that reach no upstream: both ways, and delay.");
    auto add = options.add_options();
    add("requests", "requests at each instance", cxxopts::value<int>()->default_value("500"));
    add("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("help", "print this");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const int requests = flags["requests"].as<int>();
    const std::string format = flags["format"].as<std::string>();
    if (requests < 100 || (format != "text" && format != "json")) {
        std::cerr << "--requests must be at least 100, --format text or json\n";
        return usageError;
    }
    const bool isText = format == "text";
    bool isGood = true;
    if (isText)
        std::printf("%-12s %-19s %6s %8s %8s\n", "cut", "way", "sent", "served", "others");
    const nlohmann::json played = playWays(isText, isGood);
    GatewayCluster cluster(2, 4);
    if (!cluster.start() || !cluster.cutAndNotice(0, PathCut::Reset))
        return 1;
    sleepFor(Millis(500));
    const DelayRow direct = delaysAt(cluster, 1, requests);
    const DelayRow carried = delaysAt(cluster, 0, requests);
    const double added = carried.p99 - direct.p99;
    isGood = isGood && added <= maxAddedMillis;
    if (isText)
        std::printf("delay ms: direct p50 %.2f p99 %.2f, carried p50 %.2f p99 %.2f, added p99 "
                    "%.2f (bound %.0f)\n",
                    direct.p50, direct.p99, carried.p50, carried.p99, added, maxAddedMillis);
    else
        std::cout << nlohmann::json{{"ways", played},
                                    {"direct_p99_ms", direct.p99},
                                    {"carried_p99_ms", carried.p99},
                                    {"added_p99_ms", added}}
                         .dump()
                  << "\n";
    return isGood ? 0 : 1;
}

} // namespace cuminrail

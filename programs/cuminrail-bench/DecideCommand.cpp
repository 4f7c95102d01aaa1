#include "BenchCommand.h"

#include "admission/admission.h"
#include "routing/routing.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// The userspace RCU library's own macros do not pass the compiler's stricter warnings.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
#include <urcu/urcu-memb.h>
#pragma GCC diagnostic pop

namespace cuminrail {

namespace {

constexpr std::size_t modelCount = 8;
constexpr std::size_t domainCount = 7;
constexpr std::size_t inProgress = 64;

/** One instance's decision modules, at some size. */
struct Plant
{
    Plant(std::size_t upstreams, std::size_t customers);

    Settings settings;
    StableIndexes indexes;
    RoutingTable table;
    AdmissionSettings admissionSettings;
    LiveLoads loads;
    PrefixHints hints;
    Router router{loads, hints};
    AdmissionController admission;
    std::vector<PrefixChain> prompts;
};

Settings makeSettings(std::size_t upstreams, std::size_t customers)
{
    Settings settings;
    for (std::size_t i = 0; i < domainCount; ++i)
        settings.fleet.domains.push_back(
            {FailureDomainId("d" + std::to_string(i)), RegionId(i < 4 ? "r0" : "r1"), 1});
    for (std::size_t i = 0; i < modelCount; ++i) {
        ModelSettings model;
        model.id = ModelId("m" + std::to_string(i));
        model.version = "1";
        settings.fleet.models.push_back(model);
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        EngineSettings engine;
        engine.id = UpstreamId("engine-" + std::to_string(i));
        engine.domain = settings.fleet.domains[i % domainCount].id;
        engine.models = {settings.fleet.models[i % modelCount].id};
        engine.role = i % 3 == 0 ? "mixed" : i % 3 == 1 ? "prefill" : "decode";
        settings.fleet.engines.push_back(engine);
    }
    TeamSettings team;
    team.id = TeamId("t");
    team.reclaimableShare = 0.3;
    for (std::size_t i = 0; i < customers; ++i) {
        CustomerSettings customer;
        customer.id = CustomerId("customer-" + std::to_string(i));
        customer.team = team.id;
        customer.limits = {1e6, 100000, 1e9};
        team.customers.push_back(customer);
    }
    settings.teams.push_back(team);
    return settings;
}

Plant::Plant(std::size_t upstreams, std::size_t customers)
    : settings(makeSettings(upstreams, customers)), table(buildRoutingTable(settings, {}, indexes)),
      admissionSettings(buildAdmissionSettings(settings, indexes.customers, indexes.pools)),
      loads(2048, 64), hints(PrefixHints::defaultEntries)
{
    admission.configure(admissionSettings, Millis::seconds(1));
    for (std::size_t i = 0; i < modelCount; ++i)
        admission.setCapacity(*table.findModel("m" + std::to_string(i)),
                              {static_cast<double>(inProgress), 1e9, 1e9, 8000});
    for (std::size_t i = 0; i < upstreams; ++i)
        loads.applyReport(static_cast<UpstreamIndex>(i), {8, 1, 500}, Millis(300),
                          Millis::seconds(1));
    for (std::size_t i = 0; i < 512; ++i)
        prompts.push_back(prefixChain(nameHash("customer-" + std::to_string(i)),
                                      std::string(3600, static_cast<char>('a' + i % 26))));
}

using SteadyClock = std::chrono::steady_clock;

double nanosecondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double, std::nano>(SteadyClock::now() - start).count();
}

/** Times of single decisions, in nanoseconds. */
struct Times
{
    double p50 = 0;
    double p99 = 0;
};

Times timesOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values[values.size() * 99 / 100]};
}

struct InProgress
{
    AdmissionTicket ticket = 0;
    RoutingTicket routing;
};

/**
    Measures submit(), choose() and started() together: all that a request waits for.

    Requests that finish keep the number in progress steady; their time is measured apart.
*/
std::pair<Times, Times> measure(Plant &plant, std::size_t count)
{
    const RandomHook random = seededRandom(11);
    std::vector<InProgress> running(inProgress * modelCount / 2);
    std::vector<double> starts;
    std::vector<double> ends;
    const std::size_t customers = plant.settings.teams[0].customers.size();
    for (std::size_t i = 0; i < count; ++i) {
        const Millis now = Millis::seconds(1) + Millis(static_cast<std::int64_t>(i / 8));
        const CustomerId &customer = plant.settings.teams[0].customers[random() % customers].id;
        const ModelId &model = plant.settings.fleet.models[random() % modelCount].id;
        InProgress &slot = running[i % running.size()];
        if (slot.ticket != 0) {
            const auto start = SteadyClock::now();
            plant.router.firstToken(slot.routing, now);
            plant.admission.firstToken(slot.ticket, now);
            plant.router.finished(slot.routing, UpstreamOutcome::Success, now);
            plant.admission.finished(slot.ticket, 200, now);
            ends.push_back(nanosecondsSince(start));
        }
        const auto start = SteadyClock::now();
        AdmissionRequest asked;
        asked.customer = *plant.table.findCustomer(customer);
        asked.pool = *plant.table.findModel(model.text());
        asked.promptTokens = 900;
        asked.maxOutputTokens = 400;
        const AdmissionDecision decision = plant.admission.submit(asked, now);
        RoutingRequest request;
        request.pool = asked.pool;
        request.customer = asked.customer;
        request.domain = 2;
        request.promptTokens = asked.promptTokens;
        request.expectedOutputTokens = decision.expectedOutputTokens;
        request.prefixes = &plant.prompts[i % plant.prompts.size()];
        request.kvTransfer = true;
        const auto choice = plant.router.choose(request, plant.table, now, random);
        slot.ticket = decision.ticket;
        slot.routing = plant.router.started(request, *choice, plant.table, now);
        starts.push_back(nanosecondsSince(start));
    }
    return {timesOf(std::move(starts)), timesOf(std::move(ends))};
}

nlohmann::json sizeRow(std::size_t upstreams, std::size_t customers, std::size_t count)
{
    Plant plant(upstreams, customers);
    const auto [start, end] = measure(plant, count);
    return {{"upstreams", upstreams},
            {"customers", customers},
            {"p50_ns", start.p50},
            {"p99_ns", start.p99},
            {"end_p50_ns", end.p50},
            {"end_p99_ns", end.p99},
            {"admission_bytes", plant.admission.memoryBytes()}};
}

/** What readers see while the table is swapped by read-copy-update, and without swaps. */
nlohmann::json swapRow(bool swapping, std::size_t readers)
{
    Plant plant(840, 2500);
    RoutingTable *current = &plant.table;
    std::atomic<bool> stop{false};
    std::vector<std::vector<double>> times(readers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < readers; ++i) {
        threads.emplace_back([&, i] {
            urcu_memb_register_thread();
            const RandomHook random = seededRandom(i);
            const Millis now = Millis::seconds(2);
            RoutingRequest request;
            request.domain = static_cast<DomainIndex>(i);
            request.promptTokens = 900;
            request.expectedOutputTokens = 200;
            while (!stop && times[i].size() < 2000000) {
                const auto start = SteadyClock::now();
                urcu_memb_read_lock();
                const RoutingTable *table = rcu_dereference(current);
                request.pool = static_cast<PoolIndex>(random() % modelCount);
                request.customer = static_cast<CustomerIndex>(random() % 2500);
                request.prefixes = &plant.prompts[random() % plant.prompts.size()];
                plant.router.choose(request, *table, now, random);
                urcu_memb_read_unlock();
                times[i].push_back(nanosecondsSince(start));
            }
            urcu_memb_unregister_thread();
        });
    }
    std::size_t swaps = 0;
    double buildMs = 0;
    std::vector<std::unique_ptr<RoutingTable>> owned;
    const auto begin = SteadyClock::now();
    while (nanosecondsSince(begin) < 1.5e9) {
        if (!swapping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        const auto start = SteadyClock::now();
        auto next =
            std::make_unique<RoutingTable>(buildRoutingTable(plant.settings, {}, plant.indexes));
        buildMs += nanosecondsSince(start) / 1e6;
        rcu_assign_pointer(current, next.get());
        urcu_memb_synchronize_rcu();
        owned.clear();
        owned.push_back(std::move(next));
        ++swaps;
    }
    stop = true;
    std::vector<double> all;
    for (std::size_t i = 0; i < readers; ++i) {
        threads[i].join();
        all.insert(all.end(), times[i].begin(), times[i].end());
    }
    const std::size_t decisions = all.size();
    const double longest = *std::max_element(all.begin(), all.end());
    const Times seen = timesOf(std::move(all));
    return {{"swapping", swapping},
            {"readers", readers},
            {"swaps", swaps},
            {"build_ms", swaps > 0 ? buildMs / static_cast<double>(swaps) : 0},
            {"decisions", decisions},
            {"p50_ns", seen.p50},
            {"p99_ns", seen.p99},
            {"longest_ns", longest}};
}

nlohmann::json memoryRow()
{
    Plant small(10, 8);
    Plant manyCustomers(10, 2500);
    const PrefixHints hints;
    const double perCustomer =
        static_cast<double>(manyCustomers.admission.memoryBytes() - small.admission.memoryBytes())
        / 2492;
    AdmissionController idle;
    idle.configure(small.admissionSettings, Millis());
    const std::size_t before = idle.memoryBytes();
    constexpr std::size_t held = 1024;
    for (std::size_t i = 0; i < held; ++i) {
        AdmissionRequest request;
        request.customer = 0;
        request.pool = 0;
        request.promptTokens = 10;
        idle.submit(request, Millis());
    }
    const double perRequest =
        static_cast<double>(idle.memoryBytes() - before) / static_cast<double>(held);
    return {{"bytes_per_customer", perCustomer},
            {"bytes_per_upstream_live", sizeof(UpstreamLoad)},
            {"bytes_per_upstream_table", sizeof(RoutedUpstream)},
            {"bytes_per_request_admission", perRequest},
            {"bytes_per_request_routing", sizeof(RoutingTicket)},
            {"bytes_prefix_hints", hints.memoryBytes()}};
}

void printTable(const nlohmann::json &result)
{
    std::printf("%10s %10s %9s %9s %9s %9s\n", "upstreams", "customers", "p50 ns", "p99 ns",
                "end p50", "end p99");
    for (const auto &row : result["sizes"]) {
        std::printf("%10d %10d %9.0f %9.0f %9.0f %9.0f\n", row["upstreams"].get<int>(),
                    row["customers"].get<int>(), row["p50_ns"].get<double>(),
                    row["p99_ns"].get<double>(), row["end_p50_ns"].get<double>(),
                    row["end_p99_ns"].get<double>());
    }
    for (const auto &row : result["swaps"])
        std::cout << "snapshot swap: " << row.dump() << "\n";
    std::cout << "memory: " << result["memory"].dump() << "\n";
}

} // namespace

int runDecideCommand(int argc, char **argv)
{
    cxxopts::Options options("cuminrail-bench decide", "Time and memory of one decision");
    options.add_options()("count", "decisions for each size",
                          cxxopts::value<std::size_t>()->default_value("200000"))(
        "readers", "threads that read while the table is swapped",
        cxxopts::value<std::size_t>()->default_value("3"))(
        "format", "table or json",
        cxxopts::value<std::string>()->default_value("table"))("help", "show this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto count = std::max<std::size_t>(1000, arguments["count"].as<std::size_t>());
    nlohmann::json result;
    for (std::size_t upstreams : {10U, 40U, 160U, 840U})
        result["sizes"].push_back(sizeRow(upstreams, 2500, count));
    for (std::size_t customers : {8U, 80U, 800U})
        result["sizes"].push_back(sizeRow(840, customers, count));
    const auto readers = std::max<std::size_t>(1, arguments["readers"].as<std::size_t>());
    result["swaps"] = {swapRow(false, readers), swapRow(true, readers)};
    result["memory"] = memoryRow();
    if (arguments["format"].as<std::string>() == "json")
        std::cout << result.dump(2) << "\n";
    else
        printTable(result);
    return 0;
}

} // namespace cuminrail

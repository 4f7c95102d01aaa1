#include "policybench/workload/Workload.h"

#include "policybench/workload/WorkloadBuilder.h"

#include <cmath>
#include <functional>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr double msPerSecond = 1000;
constexpr double runDurationMs = 240 * msPerSecond;
const std::vector<double> skewedCustomerShares = {6, 4, 3, 1, 1, 1, 0.5, 0.5};

RequestKind exhibitSummary()
{
    return {3000, 150, 0.6, Priority::Interactive, 0.5, 60, 2};
}

RequestKind privilegeFlag()
{
    return {1500, 20, 0.5, Priority::Interactive, 0.3, 60, 3};
}

RequestKind bundleIndex()
{
    return {5000, 400, 0.5, Priority::Batch, 0, 1, 1, 60 * msPerSecond};
}

RequestKind partCheck()
{
    return {2000, 250, 0.6, Priority::Standard, 0.4, 40, 2};
}

RequestKind handwrittenPage()
{
    return {900, 350, 0.5, Priority::Interactive, 0, 1, 1};
}

RequestKind rehearsalMarks()
{
    return {1200, 80, 0.5, Priority::Batch, 0.3, 40, 1, 90 * msPerSecond};
}

RequestKind shortChat()
{
    return {400, 250, 0.7, Priority::Interactive, 0, 1, 1};
}

/** The load rises ahead of a closing time at the end of the run. */
Workload courtDay(WorkloadBuilder builder)
{
    builder.addEngines(10);
    builder.addCustomers(skewedCustomerShares);
    builder.addArrivals([](double time) {
        const double ramp = std::min(1.0, time / (0.75 * runDurationMs));
        return Mix{0.45 + 0.6 * ramp, {exhibitSummary(), privilegeFlag(), bundleIndex()}};
    });
    return builder.take();
}

/** Load and request mix oscillate, with peaks at the capacity of the fleet. */
Workload festival(WorkloadBuilder builder)
{
    builder.addEngines(12);
    builder.addCustomers(skewedCustomerShares);
    builder.addArrivals([](double time) {
        const double wave = std::sin(time / (80 * msPerSecond) * 6.283);
        RequestKind check = partCheck();
        check.share *= 1 + 0.8 * wave;
        return Mix{0.75 + 0.25 * wave, {check, handwrittenPage(), rehearsalMarks()}};
    });
    return builder.take();
}

/** The prefill share of the work oscillates between a tenth and two thirds, once a minute. */
Workload mixSwing(WorkloadBuilder builder)
{
    builder.addEngines(12);
    builder.addCustomers({1, 1, 1, 1, 1, 1, 1, 1});
    builder.addArrivals([](double time) {
        const double prefillHeavyShare = 0.5 + 0.5 * std::sin(time / (60 * msPerSecond) * 6.283);
        RequestKind prefillHeavy{4000, 60, 0.9, Priority::Interactive, 0, 1, prefillHeavyShare};
        RequestKind decodeHeavy{250, 400, 0.7, Priority::Interactive, 0, 1, 1 - prefillHeavyShare};
        return Mix{0.9, {prefillHeavy, decodeHeavy}};
    });
    return builder.take();
}

/** The same load on a fleet divided into prefill, decode and mixed engines. */
Workload mixSwingDivided(WorkloadBuilder builder)
{
    Workload workload = mixSwing(std::move(builder));
    auto &engines = workload.settings.fleet.engines;
    for (std::size_t i = 0; i < engines.size(); ++i)
        engines[i].role = i < 3 ? "prefill" : i < 8 ? "decode" : "mixed";
    return workload;
}

/** One customer sends three times its limit, through two of the six instances. */
Workload whale(WorkloadBuilder builder)
{
    builder.addEngines(10);
    builder.addCustomers({1, 1, 1, 1, 1, 1, 1, 1});
    builder.addArrivals([](double) { return Mix{0.5, {exhibitSummary(), shortChat()}}; });
    RequestKind large{2500, 250, 0.8, Priority::Interactive};
    builder.addWhale(0.9, 0.3, large, {0, 1});
    return builder.take();
}

/** One failure domain, a third of the engines, is down for a minute and a half. */
Workload domainLoss(WorkloadBuilder builder)
{
    builder.addEngines(12);
    builder.addCustomers(skewedCustomerShares);
    builder.addArrivals([](double) {
        return Mix{0.75, {exhibitSummary(), shortChat(), bundleIndex()}};
    });
    builder.workload.outages.push_back({80 * msPerSecond, 170 * msPerSecond, {1, 4, 7, 10}});
    return builder.take();
}

/** Half of the reclaimable engines are withdrawn together with their running requests. */
Workload cheapReclaim(WorkloadBuilder builder)
{
    builder.addEngines(8);
    builder.addEngines(6, "reclaimable");
    builder.addCustomers(skewedCustomerShares, 0.5);
    builder.addArrivals([](double) {
        RequestKind index = bundleIndex();
        index.share = 2;
        RequestKind nonRepeatable = bundleIndex();
        nonRepeatable.share = 0.2;
        nonRepeatable.repeatable = false;
        return Mix{1.1, {exhibitSummary(), shortChat(), index, nonRepeatable}};
    });
    builder.workload.outages.push_back({100 * msPerSecond, 160 * msPerSecond, {8, 9, 10}});
    return builder.take();
}

/** Many engines whose load reports arrive with a delay of two seconds. */
Workload staleReports(WorkloadBuilder builder)
{
    builder.addEngines(24);
    builder.addCustomers(skewedCustomerShares);
    builder.workload.reportLag = 2 * msPerSecond;
    builder.addArrivals([](double) {
        RequestKind large{6000, 100, 0.8, Priority::Interactive, 0, 1, 0.5};
        return Mix{0.85, {large, shortChat(), privilegeFlag()}};
    });
    return builder.take();
}

/** Many requests share few long documents; all engine caches together hold each one once. */
Workload prefixHeavy(WorkloadBuilder builder)
{
    builder.addEngines(12);
    builder.addCustomers(skewedCustomerShares);
    builder.workload.cacheTokens = 120000;
    builder.addArrivals([](double) {
        RequestKind question{7000, 100, 0.4, Priority::Interactive, 0.92, 20, 1};
        return Mix{0.7, {question, shortChat()}};
    });
    return builder.take();
}

struct NamedWorkload
{
    std::string name;
    std::function<Workload(WorkloadBuilder)> make;
};

const std::vector<NamedWorkload> &allWorkloads()
{
    static const std::vector<NamedWorkload> all = {
        {"inteko-court-day", courtDay},
        {"kerlann-festival", festival},
        {"mix-swing", mixSwing},
        {"whale-customer", whale},
        {"domain-loss", domainLoss},
        {"cheap-reclaim", cheapReclaim},
        {"stale-reports", staleReports},
        {"prefix-heavy", prefixHeavy},
        {"mix-swing-divided", mixSwingDivided},
    };
    return all;
}

} // namespace

const std::vector<std::string> &workloadNames()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> list;
        for (const NamedWorkload &entry : allWorkloads())
            list.push_back(entry.name);
        return list;
    }();
    return names;
}

std::optional<Workload> makeWorkload(std::string_view name, std::uint64_t seed)
{
    for (const NamedWorkload &entry : allWorkloads()) {
        if (entry.name == name)
            return entry.make(WorkloadBuilder(entry.name, seed, runDurationMs));
    }
    return std::nullopt;
}

} // namespace cuminrail::policybench

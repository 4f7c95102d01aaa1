#include "policybench/workload/WorkloadBuilder.h"

#include "policybench/engine/FakeEngine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr std::size_t domainCount = 3;
constexpr double sharedPrefixTokens = 128;
constexpr double maxPromptTokens = 32000;
constexpr double outputTokenLimit = 2000;

std::uint64_t workloadSeed(const std::string &name, std::uint64_t seed)
{
    return mixHash(nameHash(name), seed);
}

} // namespace

WorkloadBuilder::WorkloadBuilder(std::string name, std::uint64_t seed, double durationMs)
    : random_(workloadSeed(name, seed))
{
    workload.name = std::move(name);
    workload.duration = durationMs;
    for (const char *domain : {"a", "b", "c"})
        workload.settings.fleet.domains.push_back({FailureDomainId(domain), RegionId("r"), 1});
    ModelSettings model;
    model.id = ModelId("model");
    model.version = "1";
    workload.settings.fleet.models.push_back(model);
}

double WorkloadBuilder::uniform()
{
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53;
}

/** Uses Box-Muller, so that results do not depend on a library's own distributions. */
double WorkloadBuilder::logNormal(double median, double spread)
{
    constexpr double twoPi = 6.283185307179586;
    const double radius = std::sqrt(-2 * std::log(1 - uniform()));
    return median * std::exp(spread * radius * std::cos(twoPi * uniform()));
}

void WorkloadBuilder::addEngines(std::size_t count, const std::string &costClass)
{
    auto &fleet = workload.settings.fleet;
    for (std::size_t i = 0; i < count; ++i) {
        EngineSettings engine;
        engine.id = UpstreamId("engine-" + std::to_string(fleet.engines.size()));
        engine.domain = fleet.domains[fleet.engines.size() % domainCount].id;
        engine.models = {fleet.models[0].id};
        engine.costClass = costClass;
        fleet.engines.push_back(engine);
    }
}

void WorkloadBuilder::addCustomers(const std::vector<double> &shares, double reclaimableShare)
{
    TeamSettings team;
    team.id = TeamId("team");
    team.reclaimableShare = reclaimableShare;
    for (double share : shares) {
        CustomerSettings customer;
        customer.id = CustomerId("customer-" + std::to_string(workload.customers.size()));
        customer.team = team.id;
        team.customers.push_back(customer);
        workload.customers.push_back(customer.id);
        customerShares_.push_back(share);
    }
    workload.settings.teams.push_back(team);
}

double WorkloadBuilder::engineMs(double promptTokens, double outputTokens)
{
    return promptTokens * EngineModel::msPerPromptToken
        + outputTokens * EngineModel::stepMs(EngineModel::slots) / EngineModel::slots;
}

double WorkloadBuilder::meanEngineMs(const RequestKind &kind) const
{
    const double meanFactor = std::exp(kind.spread * kind.spread / 2);
    const double uncached = kind.promptTokens * (1 - 0.8 * kind.documentShare);
    return engineMs(uncached, kind.outputTokens) * meanFactor;
}

const RequestKind &WorkloadBuilder::pickKind(const std::vector<RequestKind> &kinds)
{
    double sum = 0;
    for (const RequestKind &kind : kinds)
        sum += kind.share;
    double remaining = uniform() * sum;
    for (const RequestKind &kind : kinds) {
        remaining -= kind.share;
        if (remaining < 0)
            return kind;
    }
    return kinds.back();
}

std::size_t WorkloadBuilder::pickCustomer()
{
    double sum = 0;
    for (double share : customerShares_)
        sum += share;
    double remaining = uniform() * sum;
    for (std::size_t i = 0; i < customerShares_.size(); ++i) {
        remaining -= customerShares_[i];
        if (remaining < 0)
            return i;
    }
    return customerShares_.size() - 1;
}

WorkloadRequest WorkloadBuilder::drawRequest(const RequestKind &kind, double time,
                                             std::size_t customer)
{
    WorkloadRequest request;
    request.arrival = time;
    request.customer = customer;
    request.instance = static_cast<std::size_t>(uniform() * double(workload.instances));
    request.priority = kind.priority;
    request.repeatable = kind.repeatable;
    request.deadline = kind.deadlineAfter > 0 ? time + kind.deadlineAfter : 0;
    request.outputTokens = static_cast<std::uint32_t>(
        std::clamp(logNormal(kind.outputTokens, kind.spread), 2.0, outputTokenLimit));
    request.maxOutputTokens = static_cast<std::uint32_t>(outputTokenLimit);

    const std::uint64_t seed = nameHash(workload.customers[customer].text());
    const auto document = static_cast<std::uint64_t>(uniform() * double(kind.documents));
    // Documents are replaced gradually, so that cache contents become outdated.
    const auto epoch = static_cast<std::uint64_t>(time / 60000 + double(document % 7) / 7);
    const std::uint64_t documentHash = mixHash(mixHash(seed, document + 1), epoch + 1);
    // The length depends on the document alone, so that all requests for it share its prefixes.
    const double documentFactor = 0.5 + double(mixHash(documentHash, 7) % 1000) / 1000;
    const double documentTokens = kind.promptTokens * kind.documentShare * documentFactor;
    const double uniqueTokens =
        std::max(16.0, logNormal(kind.promptTokens * (1 - kind.documentShare), kind.spread));
    const double totalTokens =
        std::min(maxPromptTokens, sharedPrefixTokens + documentTokens + uniqueTokens);
    request.promptTokens = static_cast<std::uint32_t>(totalTokens);
    request.prefixes.push_back({mixHash(seed, 99), std::uint32_t(sharedPrefixTokens)});
    if (kind.documentShare > 0) {
        const double documentEnd = std::min(totalTokens, sharedPrefixTokens + documentTokens);
        for (double length = 256; length < documentEnd; length *= 2)
            request.prefixes.push_back(
                {mixHash(documentHash, std::uint64_t(length)), static_cast<std::uint32_t>(length)});
        request.prefixes.push_back({documentHash, static_cast<std::uint32_t>(documentEnd)});
    }
    request.prefixes.push_back({mixHash(++lastUniqueId_, seed), request.promptTokens});
    return request;
}

void WorkloadBuilder::addArrivals(const std::function<Mix(double)> &mixAt)
{
    double regularEngines = 0;
    for (const EngineSettings &engine : workload.settings.fleet.engines)
        regularEngines += engine.costClass == "regular" ? 1 : 0;
    double time = 0;
    while (true) {
        const Mix mix = mixAt(time);
        double shares = 0;
        double work = 0;
        for (const RequestKind &kind : mix.kinds) {
            shares += kind.share;
            work += kind.share * meanEngineMs(kind);
        }
        const double arrivalsPerMs = mix.load * regularEngines / (work / shares);
        time += -std::log(1 - uniform()) / arrivalsPerMs;
        if (time >= workload.duration)
            return;
        workload.requests.push_back(drawRequest(pickKind(mix.kinds), time, pickCustomer()));
    }
}

void WorkloadBuilder::addWhale(double load, double limitLoad, const RequestKind &kind,
                               const std::vector<std::size_t> &instances)
{
    const auto engines = static_cast<double>(workload.settings.fleet.engines.size());
    const double arrivalsPerMs = load * engines / meanEngineMs(kind);
    const double meanTokens =
        (kind.promptTokens + kind.outputTokens) * std::exp(kind.spread * kind.spread / 2);
    CustomerSettings heavyCustomer;
    heavyCustomer.id = CustomerId("whale");
    heavyCustomer.team = workload.settings.teams[0].id;
    heavyCustomer.limits.tokensPerSecond =
        limitLoad * engines * 1000 / meanEngineMs(kind) * meanTokens;
    workload.settings.teams[0].customers.push_back(heavyCustomer);
    workload.customers.push_back(heavyCustomer.id);
    double time = 0;
    while ((time += -std::log(1 - uniform()) / arrivalsPerMs) < workload.duration) {
        WorkloadRequest request = drawRequest(kind, time, workload.customers.size() - 1);
        request.instance = instances[random_() % instances.size()];
        workload.requests.push_back(std::move(request));
    }
}

Workload WorkloadBuilder::take()
{
    std::stable_sort(workload.requests.begin(), workload.requests.end(),
                     [](const auto &a, const auto &b) { return a.arrival < b.arrival; });
    return std::move(workload);
}

} // namespace cuminrail::policybench

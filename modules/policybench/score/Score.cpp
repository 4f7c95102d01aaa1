#include "policybench/score/Score.h"

#include "policybench/engine/FakeEngine.h"
#include "policybench/workload/WorkloadBuilder.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_set>

namespace cuminrail::policybench {

namespace {

constexpr double firstTokenTargetMs = 750;
constexpr double tokenTargetMs = 51;
constexpr double standardTargetFactor = 4;
/** For long prompts, the first-token target is this multiple of the prefill time alone. */
constexpr double prefillTargetFactor = 2;
constexpr double reclaimablePrice = 0.3;
constexpr double boundWindowMs = 10000;
constexpr double msPerHour = 3600000;

double firstTokenTarget(const WorkloadRequest &request)
{
    const double prefillMs = request.promptTokens * EngineModel::msPerPromptToken;
    const double target = std::max(firstTokenTargetMs, prefillTargetFactor * prefillMs);
    return request.priority == Priority::Standard ? standardTargetFactor * target : target;
}

double timePerOutputToken(const WorkloadRequest &request, const RequestRecord &record)
{
    return (record.endedAt - record.firstTokenAt) / std::max(1U, request.outputTokens - 1);
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto rank = values.size() * 95 / 100;
    std::nth_element(values.begin(), values.begin() + static_cast<long>(rank), values.end());
    return values[rank];
}

/**
    Returns how many requests of each customer its limit allows, by one ideal token bucket.

    This is the denominator of goodput, as requests above the limit need not be served.
*/
std::vector<double> allowedRequests(const Workload &workload)
{
    const auto &customers = workload.settings.teams[0].customers;
    std::vector<CustomerLimiter> limiters(customers.size());
    for (std::size_t i = 0; i < customers.size(); ++i)
        limiters[i].configure(customers[i].limits, Millis::seconds(2), Millis());
    std::vector<double> allowed(customers.size(), 0);
    for (const WorkloadRequest &request : workload.requests) {
        CustomerLimiter &limiter = limiters[request.customer];
        if (limiter.exceededLimit(Millis(static_cast<std::int64_t>(request.arrival))))
            continue;
        limiter.started(request.promptTokens + request.outputTokens);
        allowed[request.customer] += 1;
    }
    return allowed;
}

double pricePerHour(const EngineSettings &engine)
{
    return engine.costClass == "reclaimable" ? reclaimablePrice : 1;
}

/** Returns the engine time in milliseconds within an interval, without outages. */
double capacityBetween(const Workload &workload, double from, double to)
{
    double sum = (to - from) * static_cast<double>(workload.settings.fleet.engines.size());
    for (const Outage &outage : workload.outages) {
        const double overlap = std::min(to, outage.to) - std::max(from, outage.from);
        sum -= std::max(0.0, overlap) * static_cast<double>(outage.engines.size());
    }
    return sum;
}

} // namespace

bool isLate(const WorkloadRequest &request, const RequestRecord &record)
{
    return request.priority != Priority::Batch
        && record.firstTokenAt - request.arrival > firstTokenTarget(request);
}

bool isGood(const WorkloadRequest &request, const RequestRecord &record)
{
    if (record.ending != Ending::Answered)
        return false;
    if (request.deadline > 0 && record.endedAt > request.deadline)
        return false;
    if (request.priority == Priority::Batch)
        return true;
    return !isLate(request, record) && timePerOutputToken(request, record) <= tokenTargetMs;
}

double goodputBound(const Workload &workload)
{
    std::unordered_set<std::uint64_t> seenPrefixes;
    std::vector<std::vector<double>> windows(
        static_cast<std::size_t>(workload.duration / boundWindowMs) + 1);
    std::vector<double> batchWorks;
    for (const WorkloadRequest &request : workload.requests) {
        double cached = 0;
        for (const PrefixPoint &point : request.prefixes) {
            if (!seenPrefixes.insert(point.hash).second)
                cached = point.tokens;
        }
        const double work =
            WorkloadBuilder::engineMs(request.promptTokens - cached, request.outputTokens);
        if (request.priority == Priority::Batch)
            batchWorks.push_back(work);
        else
            windows[static_cast<std::size_t>(request.arrival / boundWindowMs)].push_back(work);
    }
    double goodCount = 0;
    double spareMs = 0;
    const auto serveShortestFirst = [&goodCount](std::vector<double> &requestWorks,
                                                 double capacity) {
        std::sort(requestWorks.begin(), requestWorks.end());
        for (double work : requestWorks) {
            if (work > capacity)
                break;
            capacity -= work;
            goodCount += 1;
        }
        return capacity;
    };
    for (std::size_t i = 0; i < windows.size(); ++i) {
        const double from = static_cast<double>(i) * boundWindowMs;
        const double to = std::min(workload.duration, from + boundWindowMs);
        spareMs +=
            serveShortestFirst(windows[i], capacityBetween(workload, from, std::max(from, to)));
    }
    serveShortestFirst(batchWorks, spareMs);
    double allowed = 0;
    for (double count : allowedRequests(workload))
        allowed += count;
    return std::min(1.0, goodCount / std::max(1.0, allowed));
}

Score scoreOf(const Workload &workload, const std::vector<RequestRecord> &records)
{
    Score score;
    score.requests = records.size();
    const std::vector<double> allowed = allowedRequests(workload);
    std::vector<double> good(allowed.size(), 0);
    std::vector<double> firstTokens;
    std::vector<double> tokenTimes;
    double cheapTokens = 0;
    double allTokens = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const WorkloadRequest &request = workload.requests[i];
        const RequestRecord &record = records[i];
        good[request.customer] += isGood(request, record) ? 1 : 0;
        score.refusedNotRun += record.ending == Ending::Refused ? 1 : 0;
        score.failed += record.ending == Ending::Failed ? 1 : 0;
        score.lost += record.ending == Ending::None ? 1 : 0;
        if (record.ending != Ending::Answered)
            continue;
        const double tokens = request.promptTokens + request.outputTokens;
        allTokens += tokens;
        cheapTokens += record.onReclaimable ? tokens : 0;
        const bool late = isLate(request, record);
        score.lateFirstToken += late ? 1 : 0;
        score.slowAnswer += !late && !isGood(request, record) ? 1 : 0;
        if (request.priority == Priority::Batch)
            continue;
        firstTokens.push_back(record.firstTokenAt - request.arrival);
        tokenTimes.push_back(timePerOutputToken(request, record));
    }
    double goodSum = 0;
    double allowedSum = 0;
    score.worstCustomer = 1;
    for (std::size_t i = 0; i < allowed.size(); ++i) {
        good[i] = std::min(good[i], allowed[i]);
        goodSum += good[i];
        allowedSum += allowed[i];
        if (allowed[i] > 0)
            score.worstCustomer = std::min(score.worstCustomer, good[i] / allowed[i]);
    }
    score.goodput = goodSum / std::max(1.0, allowedSum);
    score.goodputBound = goodputBound(workload);
    score.firstTokenP95 = percentile95(std::move(firstTokens));
    score.tokenTimeP95 = percentile95(std::move(tokenTimes));
    score.cheapShare = allTokens > 0 ? cheapTokens / allTokens : 0;
    double engineCost = 0;
    for (const EngineSettings &engine : workload.settings.fleet.engines)
        engineCost += pricePerHour(engine) * workload.duration / msPerHour;
    score.cost = engineCost / std::max(1.0, goodSum) * 1000;
    return score;
}

nlohmann::json scoreToJson(const Score &score)
{
    return {{"goodput", score.goodput},
            {"goodput_bound", score.goodputBound},
            {"worst_customer", score.worstCustomer},
            {"ttft_p95_ms", score.firstTokenP95},
            {"tpot_p95_ms", score.tokenTimeP95},
            {"role_changes", score.roleChanges},
            {"cost", score.cost},
            {"cheap_share", score.cheapShare},
            {"refused_not_run", score.refusedNotRun},
            {"late_first_token", score.lateFirstToken},
            {"slow_answer", score.slowAnswer},
            {"failed", score.failed},
            {"lost", score.lost},
            {"requests", score.requests},
            {"engine_busy", score.engineBusy},
            {"cached_share", score.cachedShare},
            {"mean_batch", score.meanBatch}};
}

} // namespace cuminrail::policybench

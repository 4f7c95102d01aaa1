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
constexpr double standardFactor = 4;
/** A prompt that takes long to read alone has this multiple of that time. */
constexpr double readingFactor = 2;
constexpr double reclaimablePrice = 0.3;
constexpr double boundWindowMs = 10000;
constexpr double msPerHour = 3600000;

double firstTokenLimit(const WorkloadRequest &request)
{
    const double reading = request.promptTokens * EngineModel::msPerPromptToken;
    const double limit = std::max(firstTokenTargetMs, readingFactor * reading);
    return request.priority == Priority::Standard ? standardFactor * limit : limit;
}

double tokenTime(const WorkloadRequest &request, const RequestRecord &record)
{
    return (record.endedAt - record.firstTokenAt) / std::max(1U, request.outputTokens - 1);
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto place = values.size() * 95 / 100;
    std::nth_element(values.begin(), values.begin() + static_cast<long>(place), values.end());
    return values[place];
}

/**
    How many requests of each customer its own limit allows, by one ideal bucket.

    A customer that sends more than it may has no claim to the rest: goodput counts against this.
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

double price(const EngineSettings &engine)
{
    return engine.costClass == "reclaimable" ? reclaimablePrice : 1;
}

/** Engine milliseconds between two instants, outages taken off. */
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
        && record.firstTokenAt - request.arrival > firstTokenLimit(request);
}

bool isGood(const WorkloadRequest &request, const RequestRecord &record)
{
    if (record.ending != Ending::Answered)
        return false;
    if (request.deadline > 0 && record.endedAt > request.deadline)
        return false;
    if (request.priority == Priority::Batch)
        return true;
    return !isLate(request, record) && tokenTime(request, record) <= tokenTargetMs;
}

double goodputBound(const Workload &workload)
{
    std::unordered_set<std::uint64_t> seen;
    std::vector<std::vector<double>> windows(
        static_cast<std::size_t>(workload.duration / boundWindowMs) + 1);
    std::vector<double> shiftable;
    for (const WorkloadRequest &request : workload.requests) {
        double cached = 0;
        for (const PrefixPoint &point : request.prefixes) {
            if (!seen.insert(point.hash).second)
                cached = point.tokens;
        }
        const double work =
            WorkloadBuilder::engineMs(request.promptTokens - cached, request.outputTokens);
        if (request.priority == Priority::Batch)
            shiftable.push_back(work);
        else
            windows[static_cast<std::size_t>(request.arrival / boundWindowMs)].push_back(work);
    }
    double good = 0;
    double spare = 0;
    const auto fill = [&good](std::vector<double> &works, double capacity) {
        std::sort(works.begin(), works.end());
        for (double work : works) {
            if (work > capacity)
                break;
            capacity -= work;
            good += 1;
        }
        return capacity;
    };
    for (std::size_t i = 0; i < windows.size(); ++i) {
        const double from = static_cast<double>(i) * boundWindowMs;
        const double to = std::min(workload.duration, from + boundWindowMs);
        spare += fill(windows[i], capacityBetween(workload, from, std::max(from, to)));
    }
    fill(shiftable, spare);
    double allowed = 0;
    for (double count : allowedRequests(workload))
        allowed += count;
    return std::min(1.0, good / std::max(1.0, allowed));
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
        tokenTimes.push_back(tokenTime(request, record));
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
    double paid = 0;
    for (const EngineSettings &engine : workload.settings.fleet.engines)
        paid += price(engine) * workload.duration / msPerHour;
    score.cost = paid / std::max(1.0, goodSum) * 1000;
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

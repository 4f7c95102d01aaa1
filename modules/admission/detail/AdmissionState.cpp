#include "admission/detail/AdmissionState.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::detail {

namespace {

/** Output tokens estimated for a flow that has not finished a request yet. */
constexpr double defaultOutputTokens = 256;
constexpr double outputSampleWeight = 1.0 / 8;
constexpr double latencySampleWeight = 1.0 / 32;
constexpr double rateWindowSeconds = 2;
/** Seconds to first token in addition to prefill. */
constexpr double firstTokenOverhead = 0.02;
constexpr Millis minRetryAfter = Millis::seconds(1);
constexpr Millis maxRetryAfter = Millis::minutes(1);

Millis fromSeconds(double seconds)
{
    return Millis(static_cast<std::int64_t>(std::min(seconds, 1e9) * 1000));
}

} // namespace

void RecentRate::decay(Millis now)
{
    const double elapsed = std::max(0.0, (now - updated_).toSeconds());
    updated_ = now;
    level_ *= std::exp(-elapsed / rateWindowSeconds);
}

void RecentRate::add(double amount, Millis now)
{
    decay(now);
    level_ += amount;
}

double RecentRate::perSecond(Millis now)
{
    decay(now);
    return level_ / rateWindowSeconds;
}

bool Flow::QueuePosition::operator<(const QueuePosition &other) const
{
    if (priority != other.priority)
        return priority < other.priority;
    if (expiresAt != other.expiresAt)
        return expiresAt < other.expiresAt;
    return arrival < other.arrival;
}

void AdmissionState::configure(const AdmissionSettings &settings, Millis now)
{
    if (customers_.size() < settings.customers.size())
        customers_.resize(settings.customers.size());
    for (std::size_t i = 0; i < customers_.size(); ++i) {
        Customer &state = customers_[i];
        state.present = i < settings.customers.size() && settings.customers[i].present;
        if (!state.present)
            continue;
        state.weight = std::max(0.001, settings.customers[i].weight);
        state.limiter.configure(settings.customers[i].limits, options_.burst, now);
    }
    if (pools_.size() < settings.pools.size())
        pools_.resize(settings.pools.size());
    for (std::size_t i = 0; i < settings.pools.size(); ++i)
        pools_[i].settings = settings.pools[i];
    for (const Flow &flow : flows_)
        pools_[flow.pool].fair.setWeight(flow.fairIndex, customers_[flow.customer].weight);
}

Customer &AdmissionState::customer(CustomerIndex index)
{
    if (customers_.size() <= index)
        customers_.resize(index + 1);
    return customers_[index];
}

Pool &AdmissionState::pool(PoolIndex index)
{
    if (pools_.size() <= index)
        pools_.resize(index + 1);
    return pools_[index];
}

std::uint32_t AdmissionState::flowFor(const AdmissionRequest &request)
{
    const bool batch = request.priority == Priority::Batch;
    const std::uint64_t key = (static_cast<std::uint64_t>(request.customer) << 32U)
        | (static_cast<std::uint64_t>(request.pool) << 1U) | (batch ? 1U : 0U);
    const auto [entry, added] =
        flowIndexes_.emplace(key, static_cast<std::uint32_t>(flows_.size()));
    if (added) {
        Flow flow;
        flow.customer = request.customer;
        flow.pool = request.pool;
        flow.batch = batch;
        Pool &state = pool(request.pool);
        flow.fairIndex = state.fair.addFlow(customer(request.customer).weight);
        state.flowByFairIndex.push_back(entry->second);
        flows_.push_back(std::move(flow));
    }
    return entry->second;
}

double AdmissionState::tokensOf(const RequestEntry &entry) const
{
    return entry.request.promptTokens + static_cast<double>(entry.expectedOutputTokens);
}

double AdmissionState::costOf(const RequestEntry &entry, double outputTokens) const
{
    const double cost = 1 + entry.request.promptTokens + options_.outputTokenCost * outputTokens;
    return entry.request.priority == Priority::Batch ? cost * options_.batchCost : cost;
}

double AdmissionState::prefillSeconds(const Pool &pool, double promptTokens) const
{
    const double rate = pool.capacity.enginePrefillTokensPerSecond;
    return rate > 0 ? promptTokens / rate : 0;
}

/** Target time to first token; at least a multiple of the prefill time, for long prompts. */
double AdmissionState::targetSeconds(const Pool &pool, const AdmissionRequest &request) const
{
    const double target =
        std::max(pool.settings.firstTokenTarget.toSeconds(),
                 options_.prefillTargetFactor * prefillSeconds(pool, request.promptTokens));
    return request.priority == Priority::Interactive ? target
                                                     : target * options_.standardTargetFactor;
}

/** Estimated time from admission to first token, scaled by recent measured times. */
double AdmissionState::estimatedFirstToken(const Pool &pool, double promptTokens) const
{
    const double prefillTime = prefillSeconds(pool, promptTokens) + firstTokenOverhead;
    if (pool.meanPrefillSeconds <= 0)
        return prefillTime;
    return prefillTime * pool.meanFirstTokenSeconds / pool.meanPrefillSeconds;
}

void AdmissionState::recordFirstToken(const RequestEntry &entry, Pool &pool, Millis now) const
{
    const double seconds = (now - entry.admittedAt).toSeconds();
    const double prefillTime =
        prefillSeconds(pool, entry.request.promptTokens) + firstTokenOverhead;
    pool.meanFirstTokenSeconds += latencySampleWeight * (seconds - pool.meanFirstTokenSeconds);
    pool.meanPrefillSeconds += latencySampleWeight * (prefillTime - pool.meanPrefillSeconds);
    const double allowed = options_.engineTargetFactor
        * std::max(pool.settings.firstTokenTarget.toSeconds(),
                   options_.prefillTargetFactor * prefillSeconds(pool, entry.request.promptTokens));
    pool.window.recordFirstToken({seconds, allowed}, now);
}

/** Latest admission time at which the request can still meet its target and its deadline. */
Millis AdmissionState::latestAdmission(const RequestEntry &entry, const Pool &pool,
                                       Millis now) const
{
    const double prefillTime = prefillSeconds(pool, entry.request.promptTokens);
    const double target = targetSeconds(pool, entry.request);
    // A minimum wait is always allowed. Otherwise a period of high latency could cause every
    // request to be refused, and no latency sample would show that it has ended.
    const double wait = std::max(options_.minWaitFactor * target,
                                 options_.targetTimeoutFactor * target
                                     - estimatedFirstToken(pool, entry.request.promptTokens));
    const Millis latest = entry.request.priority == Priority::Batch ? now + options_.batchTimeout
                                                                    : now + fromSeconds(wait);
    if (entry.request.deadline == Millis::never())
        return latest;
    const double decodeTime = entry.expectedOutputTokens * pool.settings.tokenTarget.toSeconds()
        * options_.tokenTimeFactor;
    const Millis forDeadline = entry.request.deadline - fromSeconds(prefillTime + decodeTime);
    // A batch request may wait as long as its deadline allows; others also have a target.
    return entry.request.priority == Priority::Batch ? forDeadline : std::min(latest, forDeadline);
}

/**
    Predicted time until a new request of this flow would be admitted, in seconds.

    The work ahead is the smaller of the whole queue and the flow's own queue divided by the flow's
    share of service: a customer with a short queue does not wait behind another's long one.
*/
double AdmissionState::predictedWait(const Flow &flow, Pool &pool, Millis now) const
{
    const double weight = pool.fair.weight(flow.fairIndex);
    const double others =
        pool.fair.activeWeight() - (pool.fair.isActive(flow.fairIndex) ? weight : 0);
    const double slowdown = (weight + std::max(0.0, others)) / weight;
    double seconds = 0;
    if (pool.capacity.prefillTokensPerSecond > 0) {
        const double tokens = std::min(pool.queuedTokens, flow.queuedTokens * slowdown);
        const double nominal = pool.capacity.prefillTokensPerSecond;
        seconds = tokens / std::max(nominal / 2, pool.admittedTokens.perSecond(now));
    }
    if (pool.capacity.slots > 0 && pool.meanRunSeconds > 0) {
        const double waiting = static_cast<double>(flow.waiting.size());
        const double requestsAhead = std::min(pool.queued, waiting * slowdown);
        seconds = std::max(seconds, requestsAhead * pool.meanRunSeconds / pool.capacity.slots);
    }
    return seconds;
}

bool AdmissionState::hasCapacityFor(const Pool &pool, const RequestEntry &entry) const
{
    if (pool.settings.isService)
        return true;
    // One request may always run: a capacity share below one must not block the instance.
    const double slots = pool.capacity.slots > 0 ? std::max(1.0, pool.capacity.slots) : 0;
    if (slots > 0 && pool.running + 1 > slots)
        return false;
    const double rate = pool.capacity.prefillTokensPerSecond;
    if (rate <= 0 || pool.prefillTokens <= 0)
        return true;
    const double window = rate * pool.settings.firstTokenTarget.toSeconds() * options_.prefillWindow
        * pool.window.factor();
    return pool.prefillTokens + entry.request.promptTokens <= window;
}

AdmissionDecision AdmissionState::submit(const AdmissionRequest &request, Millis now)
{
    Customer &customerState = customer(request.customer);
    const std::uint32_t flowIndex = flowFor(request);
    const Slot slot = slab_.add();
    RequestEntry &entry = slab_.at(slot);
    Pool &poolState = pool(request.pool);
    const Flow &flow = flows_[flowIndex];

    const double estimate = flow.meanOutputTokens > 0 ? flow.meanOutputTokens : defaultOutputTokens;
    entry.request = request;
    entry.flow = flowIndex;
    entry.expectedOutputTokens =
        static_cast<std::uint32_t>(std::min<double>(request.maxOutputTokens, estimate));
    entry.cost = costOf(entry, entry.expectedOutputTokens);
    entry.expiresAt = latestAdmission(entry, poolState, now);
    customerState.requestRate.add(1, now);
    customerState.tokenRate.add(tokensOf(entry), now);

    if (entry.expiresAt < now)
        return refuse(slot, missedTargetCode(entry), minRetryAfter);
    return enqueue(slot, now);
}

AdmissionDecision AdmissionState::enqueue(Slot slot, Millis now)
{
    RequestEntry &entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    Pool &poolState = pool(flow.pool);
    Customer &customerState = customer(flow.customer);
    const auto limit = customerState.limiter.exceededLimit(now);
    const double expected = entry.expectedOutputTokens;

    if (!limit && flow.waiting.empty() && poolState.fair.activeCount() == 0
        && hasCapacityFor(poolState, entry)) {
        admit(slot, now);
        return {AdmissionKind::Admitted, slab_.ticketOf(slot), entry.expectedOutputTokens, {}, {}};
    }
    if (limit) {
        customerState.shortOfBudget = true;
        const Millis wait =
            customerState.limiter.wait(customerState.queued, flow.queuedTokens, now);
        const double maxDeferred = std::max(4.0, customerState.limiter.share().concurrentRequests);
        if (wait > options_.limitTimeout || customerState.queued >= maxDeferred)
            return refuse(slot, *limit, std::max(wait, minRetryAfter));
    } else if (now + fromSeconds(predictedWait(flow, poolState, now)) > entry.expiresAt) {
        return refuse(slot, missedTargetCode(entry), retryAfterOverload(poolState));
    }
    if (queued_ >= options_.maxQueued)
        return refuse(slot, RefusalCode::Overloaded, retryAfterOverload(poolState));

    entry.arrival = ++arrivals_;
    flow.waiting.insert({entry.request.priority, entry.expiresAt, entry.arrival, slot});
    flow.queuedTokens += entry.request.promptTokens;
    poolState.queuedTokens += entry.request.promptTokens;
    poolState.queued += 1;
    ++customerState.queued;
    ++queued_;
    expiries_.emplace(entry.expiresAt.count(), slot);
    if (limit)
        deferFlow(entry.flow, *limit, now);
    else if (!flow.deferredByLimit)
        poolState.fair.activate(flow.fairIndex);
    return {
        AdmissionKind::Queued, slab_.ticketOf(slot), static_cast<std::uint32_t>(expected), {}, {}};
}

AdmissionDecision AdmissionState::refuse(Slot slot, RefusalCode code, Millis retryAfter)
{
    slab_.remove(slot);
    return {AdmissionKind::Refused, 0, 0, code, std::min(retryAfter, maxRetryAfter)};
}

RefusalCode AdmissionState::missedTargetCode(const RequestEntry &entry) const
{
    return entry.request.deadline == Millis::never() ? RefusalCode::Overloaded
                                                     : RefusalCode::DeadlineUnreachable;
}

/** Estimated time to drain the current queue; an earlier retry would only be refused again. */
Millis AdmissionState::retryAfterOverload(const Pool &pool) const
{
    double seconds = 0;
    if (pool.capacity.prefillTokensPerSecond > 0)
        seconds = (pool.queuedTokens + pool.prefillTokens) / pool.capacity.prefillTokensPerSecond;
    if (pool.capacity.slots > 0)
        seconds = std::max(seconds, (pool.queued + 1) * pool.meanRunSeconds / pool.capacity.slots);
    return std::clamp(fromSeconds(seconds), minRetryAfter, maxRetryAfter);
}

void AdmissionState::admit(Slot slot, Millis now)
{
    RequestEntry &entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    Pool &poolState = pool(flow.pool);
    entry.phase = RequestPhase::Prefill;
    entry.admittedAt = now;
    poolState.running += 1;
    poolState.prefillTokens += entry.request.promptTokens;
    poolState.admittedTokens.add(entry.request.promptTokens, now);
    poolState.fair.charge(flow.fairIndex, entry.cost);
    customer(flow.customer).limiter.started(tokensOf(entry));
    ++running_;
}

void AdmissionState::removeFromQueue(Slot slot)
{
    RequestEntry &entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    Pool &poolState = pool(flow.pool);
    flow.waiting.erase({entry.request.priority, entry.expiresAt, entry.arrival, slot});
    flow.queuedTokens -= entry.request.promptTokens;
    poolState.queuedTokens -= entry.request.promptTokens;
    poolState.queued -= 1;
    --customer(flow.customer).queued;
    --queued_;
    expiries_.erase({entry.expiresAt.count(), slot});
    if (flow.waiting.empty())
        poolState.fair.deactivate(flow.fairIndex);
}

/**
    Removes a flow from the fair queue until its customer's limits allow another request.

    Its first request waits for a bounded time, in which another instance may lend budget.
*/
void AdmissionState::deferFlow(std::uint32_t flowIndex, RefusalCode code, Millis now)
{
    Flow &flow = flows_[flowIndex];
    Customer &customerState = customer(flow.customer);
    pool(flow.pool).fair.deactivate(flow.fairIndex);
    customerState.shortOfBudget = true;
    if (!flow.deferredByLimit) {
        flow.deferredByLimit = true;
        if (customerState.deferredFlows.empty())
            deferredCustomers_.push_back(flow.customer);
        customerState.deferredFlows.push_back(flowIndex);
    }
    const Slot slot = flow.waiting.begin()->slot;
    RequestEntry &entry = slab_.at(slot);
    if (entry.deferredByLimit || now + options_.limitTimeout >= entry.expiresAt)
        return;
    entry.deferredByLimit = true;
    entry.limitCode = code;
    expiries_.erase({entry.expiresAt.count(), slot});
    flow.waiting.erase(flow.waiting.begin());
    entry.expiresAt = now + options_.limitTimeout;
    expiries_.emplace(entry.expiresAt.count(), slot);
    flow.waiting.insert({entry.request.priority, entry.expiresAt, entry.arrival, slot});
}

void AdmissionState::retryDeferred(CustomerIndex index, AdmissionChanges &changes, Millis now)
{
    Customer &customerState = customer(index);
    if (customerState.deferredFlows.empty() || customerState.limiter.exceededLimit(now))
        return;
    std::vector<std::uint32_t> flows;
    flows.swap(customerState.deferredFlows);
    deferredCustomers_.erase(
        std::remove(deferredCustomers_.begin(), deferredCustomers_.end(), index),
        deferredCustomers_.end());
    for (std::uint32_t flowIndex : flows) {
        Flow &flow = flows_[flowIndex];
        flow.deferredByLimit = false;
        if (!flow.waiting.empty())
            pool(flow.pool).fair.activate(flow.fairIndex);
    }
    for (std::uint32_t flowIndex : flows)
        admitQueued(flows_[flowIndex].pool, changes, now);
}

void AdmissionState::admitQueued(PoolIndex poolIndex, AdmissionChanges &changes, Millis now)
{
    while (const auto next = pool(poolIndex).fair.next()) {
        Pool &poolState = pool(poolIndex);
        const std::uint32_t flowIndex = poolState.flowByFairIndex[*next];
        const Slot slot = flows_[flowIndex].waiting.begin()->slot;
        if (slab_.at(slot).expiresAt < now) {
            rejectExpired(slot, changes, now);
            continue;
        }
        if (!hasCapacityFor(poolState, slab_.at(slot))) {
            poolState.window.recordFullWindow();
            return;
        }
        if (const auto limit = customer(flows_[flowIndex].customer).limiter.exceededLimit(now)) {
            deferFlow(flowIndex, *limit, now);
            continue;
        }
        admit(slot, now);
        removeFromQueue(slot);
        changes.admitted.push_back(slab_.ticketOf(slot));
    }
}

void AdmissionState::rejectExpired(Slot slot, AdmissionChanges &changes, Millis now)
{
    const RequestEntry &entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    RefusedTicket refused;
    refused.ticket = slab_.ticketOf(slot);
    refused.code = entry.deferredByLimit ? entry.limitCode : missedTargetCode(entry);
    const Millis limitDelay = customer(flow.customer).limiter.wait(0, 0, now);
    refused.retryAfter = entry.deferredByLimit ? std::max(limitDelay, minRetryAfter)
                                               : retryAfterOverload(pool(flow.pool));
    removeFromQueue(slot);
    slab_.remove(slot);
    changes.refused.push_back(refused);
}

void AdmissionState::expire(AdmissionChanges &changes, Millis now)
{
    while (!expiries_.empty() && expiries_.begin()->first < now.count())
        rejectExpired(expiries_.begin()->second, changes, now);
}

void AdmissionState::releasePrefill(RequestEntry &entry)
{
    if (entry.phase != RequestPhase::Prefill)
        return;
    entry.phase = RequestPhase::Decode;
    pool(entry.request.pool).prefillTokens -= entry.request.promptTokens;
}

AdmissionChanges AdmissionState::firstToken(AdmissionTicket ticket, Millis now)
{
    AdmissionChanges changes;
    const Slot slot = slab_.find(ticket);
    if (slot == RequestSlab::none || slab_.at(slot).phase != RequestPhase::Prefill)
        return changes;
    RequestEntry &entry = slab_.at(slot);
    entry.firstTokenAt = now;
    recordFirstToken(entry, pool(entry.request.pool), now);
    releasePrefill(entry);
    admitQueued(slab_.at(slot).request.pool, changes, now);
    return changes;
}

void AdmissionState::endRunning(Slot slot, double outputTokens, Millis now)
{
    RequestEntry &entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    Pool &poolState = pool(flow.pool);
    releasePrefill(entry);
    poolState.running -= 1;
    --running_;
    const double extraTokens = outputTokens - entry.expectedOutputTokens;
    poolState.fair.adjust(flow.fairIndex, costOf(entry, outputTokens) - entry.cost);
    customer(flow.customer).limiter.finished(extraTokens);
    const double runSeconds = (now - entry.admittedAt).toSeconds();
    poolState.meanRunSeconds += poolState.meanRunSeconds > 0
        ? latencySampleWeight * (runSeconds - poolState.meanRunSeconds)
        : runSeconds;
}

AdmissionChanges AdmissionState::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                          Millis now)
{
    AdmissionChanges changes;
    const Slot slot = slab_.find(ticket);
    if (slot == RequestSlab::none || slab_.at(slot).phase == RequestPhase::Queued)
        return changes;
    endRunning(slot, outputTokens, now);
    const RequestEntry entry = slab_.at(slot);
    Flow &flow = flows_[entry.flow];
    flow.meanOutputTokens += flow.meanOutputTokens > 0
        ? outputSampleWeight * (outputTokens - flow.meanOutputTokens)
        : outputTokens;
    if (entry.phase == RequestPhase::Decode && outputTokens > 1) {
        Pool &poolState = pool(entry.request.pool);
        const double secondsPerToken = (now - entry.firstTokenAt).toSeconds() / (outputTokens - 1);
        poolState.window.recordTokenTime(
            {secondsPerToken, poolState.settings.tokenTarget.toSeconds()}, now);
    }
    slab_.remove(slot);
    retryDeferred(entry.request.customer, changes, now);
    admitQueued(entry.request.pool, changes, now);
    return changes;
}

AdmissionChanges AdmissionState::cancel(AdmissionTicket ticket, Millis now)
{
    AdmissionChanges changes;
    const Slot slot = slab_.find(ticket);
    if (slot == RequestSlab::none)
        return changes;
    const AdmissionRequest request = slab_.at(slot).request;
    if (slab_.at(slot).phase == RequestPhase::Queued)
        removeFromQueue(slot);
    else
        endRunning(slot, 0, now);
    slab_.remove(slot);
    retryDeferred(request.customer, changes, now);
    admitQueued(request.pool, changes, now);
    return changes;
}

AdmissionChanges AdmissionState::tick(Millis now)
{
    AdmissionChanges changes;
    expire(changes, now);
    const std::vector<CustomerIndex> deferred = deferredCustomers_;
    for (CustomerIndex index : deferred)
        retryDeferred(index, changes, now);
    for (PoolIndex index = 0; index < pools_.size(); ++index)
        admitQueued(index, changes, now);
    return changes;
}

std::size_t AdmissionState::memoryBytes() const
{
    constexpr std::size_t nodeBytes = 64;
    return slab_.memoryBytes() + customers_.capacity() * sizeof(Customer)
        + flows_.capacity() * (sizeof(Flow) + nodeBytes) + queued_ * 2 * nodeBytes
        + pools_.capacity() * sizeof(Pool);
}

} // namespace cuminrail::detail

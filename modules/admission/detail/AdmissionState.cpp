#include "admission/detail/AdmissionState.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::detail {

namespace {

/** Output tokens expected of a customer of whom nothing is known yet. */
constexpr double firstOutputEstimate = 256;
constexpr double outputGain = 1.0 / 8;
constexpr double holdGain = 1.0 / 32;
constexpr double rateWindowSeconds = 2;
/** What a first token takes beside reading. */
constexpr double firstTokenOverhead = 0.02;
constexpr Millis shortestRetryAfter = Millis::seconds(1);
constexpr Millis longestRetryAfter = Millis::minutes(1);

Millis fromSeconds(double seconds)
{
    return Millis(static_cast<std::int64_t>(std::min(seconds, 1e9) * 1000));
}

} // namespace

void RecentRate::decay(Millis now)
{
    const double passed = std::max(0.0, (now - updated_).toSeconds());
    updated_ = now;
    level_ *= std::exp(-passed / rateWindowSeconds);
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

bool Flow::Place::operator<(const Place &other) const
{
    if (priority != other.priority)
        return priority < other.priority;
    if (giveUpAt != other.giveUpAt)
        return giveUpAt < other.giveUpAt;
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
        pools_[i].row = settings.pools[i];
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
        state.flowOfFair.push_back(entry->second);
        flows_.push_back(std::move(flow));
    }
    return entry->second;
}

double AdmissionState::tokensOf(const HeldRequest &held) const
{
    return held.request.promptTokens + static_cast<double>(held.expectedOutputTokens);
}

double AdmissionState::costOf(const HeldRequest &held, double outputTokens) const
{
    const double cost = 1 + held.request.promptTokens + options_.outputTokenCost * outputTokens;
    return held.request.priority == Priority::Batch ? cost * options_.batchCost : cost;
}

double AdmissionState::readingSeconds(const Pool &pool, double promptTokens) const
{
    const double rate = pool.capacity.enginePrefillTokensPerSecond;
    return rate > 0 ? promptTokens / rate : 0;
}

/** What the first token may take; long prompts get a multiple of their own reading time. */
double AdmissionState::targetSeconds(const Pool &pool, const AdmissionRequest &request) const
{
    const double target =
        std::max(pool.row.firstTokenTarget.toSeconds(),
                 options_.readingPatience * readingSeconds(pool, request.promptTokens));
    return request.priority == Priority::Interactive ? target : target * options_.standardPatience;
}

/** Time from admission to first token for a prompt of this size, as seen lately. */
double AdmissionState::expectedFirstToken(const Pool &pool, double promptTokens) const
{
    const double reading = readingSeconds(pool, promptTokens) + firstTokenOverhead;
    if (pool.meanReadingSeconds <= 0)
        return reading;
    return reading * pool.meanFirstTokenSeconds / pool.meanReadingSeconds;
}

void AdmissionState::learnFirstToken(const HeldRequest &held, Pool &pool, Millis now) const
{
    const double seconds = (now - held.admittedAt).toSeconds();
    const double reading = readingSeconds(pool, held.request.promptTokens) + firstTokenOverhead;
    pool.meanFirstTokenSeconds += holdGain * (seconds - pool.meanFirstTokenSeconds);
    pool.meanReadingSeconds += holdGain * (reading - pool.meanReadingSeconds);
    const double allowed = options_.engineShare
        * std::max(pool.row.firstTokenTarget.toSeconds(),
                   options_.readingPatience * readingSeconds(pool, held.request.promptTokens));
    pool.window.firstToken({seconds, allowed}, now);
}

/** The instant after which the request, if admitted, would miss its target or its deadline. */
Millis AdmissionState::latestStart(const HeldRequest &held, const Pool &pool, Millis now) const
{
    const double reading = readingSeconds(pool, held.request.promptTokens);
    const double target = targetSeconds(pool, held.request);
    // Some wait is always granted: else a bad spell would refuse everything, and nothing would be
    // left to show that it is over.
    const double wait = std::max(options_.smallestWait * target,
                                 options_.interactivePatience * target
                                     - expectedFirstToken(pool, held.request.promptTokens));
    const Millis latest = held.request.priority == Priority::Batch ? now + options_.batchPatience
                                                                   : now + fromSeconds(wait);
    if (held.request.deadline == Millis::never())
        return latest;
    const double writing =
        held.expectedOutputTokens * pool.row.tokenTarget.toSeconds() * options_.tokenTimeShare;
    const Millis forDeadline = held.request.deadline - fromSeconds(reading + writing);
    // A batch request waits for as long as its deadline allows; others also have a target.
    return held.request.priority == Priority::Batch ? forDeadline : std::min(latest, forDeadline);
}

/**
    Time until a new request of this flow would start, in seconds.

    What lies ahead is the whole queue at most, and no more than its own customer's queue times the
    share that the customer gets: a customer with a short queue does not wait behind a long one.
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
    if (pool.capacity.slots > 0 && pool.meanHoldSeconds > 0) {
        const double waiting = static_cast<double>(flow.waiting.size());
        const double ahead = std::min(pool.queued, waiting * slowdown);
        seconds = std::max(seconds, ahead * pool.meanHoldSeconds / pool.capacity.slots);
    }
    return seconds;
}

bool AdmissionState::fits(const Pool &pool, const HeldRequest &held) const
{
    if (pool.row.isService)
        return true;
    // One request may always run: a share below one must not shut an instance out.
    const double slots = pool.capacity.slots > 0 ? std::max(1.0, pool.capacity.slots) : 0;
    if (slots > 0 && pool.running + 1 > slots)
        return false;
    const double rate = pool.capacity.prefillTokensPerSecond;
    if (rate <= 0 || pool.readingTokens <= 0)
        return true;
    const double window = rate * pool.row.firstTokenTarget.toSeconds() * options_.prefillWindow
        * pool.window.factor();
    return pool.readingTokens + held.request.promptTokens <= window;
}

AdmissionDecision AdmissionState::submit(const AdmissionRequest &request, Millis now)
{
    Customer &owner = customer(request.customer);
    const std::uint32_t flowIndex = flowFor(request);
    const Slot slot = slab_.add();
    HeldRequest &held = slab_.at(slot);
    Pool &target = pool(request.pool);
    const Flow &flow = flows_[flowIndex];

    const double estimate = flow.meanOutputTokens > 0 ? flow.meanOutputTokens : firstOutputEstimate;
    held.request = request;
    held.flow = flowIndex;
    held.expectedOutputTokens =
        static_cast<std::uint32_t>(std::min<double>(request.maxOutputTokens, estimate));
    held.cost = costOf(held, held.expectedOutputTokens);
    held.giveUpAt = latestStart(held, target, now);
    owner.requests.add(1, now);
    owner.tokens.add(tokensOf(held), now);

    if (held.giveUpAt < now)
        return refuse(slot, hopelessCode(held), shortestRetryAfter);
    return enqueue(slot, now);
}

AdmissionDecision AdmissionState::enqueue(Slot slot, Millis now)
{
    HeldRequest &held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    Pool &target = pool(flow.pool);
    Customer &owner = customer(flow.customer);
    const auto limit = owner.limiter.heldBackBy(now);
    const double expected = held.expectedOutputTokens;

    if (!limit && flow.waiting.empty() && target.fair.activeCount() == 0 && fits(target, held)) {
        admit(slot, now);
        return {AdmissionKind::Admitted, slab_.ticketOf(slot), held.expectedOutputTokens, {}, {}};
    }
    if (limit) {
        owner.shortOfBudget = true;
        const Millis wait = owner.limiter.wait(owner.queued, flow.queuedTokens, now);
        const double mayWait = std::max(4.0, owner.limiter.share().concurrentRequests);
        if (wait > options_.limitWait || owner.queued >= mayWait)
            return refuse(slot, *limit, std::max(wait, shortestRetryAfter));
    } else if (now + fromSeconds(predictedWait(flow, target, now)) > held.giveUpAt) {
        return refuse(slot, hopelessCode(held), retryAfterOverload(target));
    }
    if (queued_ >= options_.maxQueued)
        return refuse(slot, RefusalCode::Overloaded, retryAfterOverload(target));

    held.arrival = ++arrivals_;
    flow.waiting.insert({held.request.priority, held.giveUpAt, held.arrival, slot});
    flow.queuedTokens += held.request.promptTokens;
    target.queuedTokens += held.request.promptTokens;
    target.queued += 1;
    ++owner.queued;
    ++queued_;
    expiries_.emplace(held.giveUpAt.count(), slot);
    if (limit)
        holdBack(held.flow, *limit, now);
    else if (!flow.limited)
        target.fair.activate(flow.fairIndex);
    return {
        AdmissionKind::Queued, slab_.ticketOf(slot), static_cast<std::uint32_t>(expected), {}, {}};
}

AdmissionDecision AdmissionState::refuse(Slot slot, RefusalCode code, Millis retryAfter)
{
    slab_.remove(slot);
    return {AdmissionKind::Refused, 0, 0, code, std::min(retryAfter, longestRetryAfter)};
}

RefusalCode AdmissionState::hopelessCode(const HeldRequest &held) const
{
    return held.request.deadline == Millis::never() ? RefusalCode::Overloaded
                                                    : RefusalCode::DeadlineUnreachable;
}

/** Roughly when today's queue is served: earlier, the caller would only be refused again. */
Millis AdmissionState::retryAfterOverload(const Pool &pool) const
{
    double seconds = 0;
    if (pool.capacity.prefillTokensPerSecond > 0)
        seconds = (pool.queuedTokens + pool.readingTokens) / pool.capacity.prefillTokensPerSecond;
    if (pool.capacity.slots > 0)
        seconds = std::max(seconds, (pool.queued + 1) * pool.meanHoldSeconds / pool.capacity.slots);
    return std::clamp(fromSeconds(seconds), shortestRetryAfter, longestRetryAfter);
}

void AdmissionState::admit(Slot slot, Millis now)
{
    HeldRequest &held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    Pool &target = pool(flow.pool);
    held.phase = RequestPhase::Reading;
    held.admittedAt = now;
    target.running += 1;
    target.readingTokens += held.request.promptTokens;
    target.admittedTokens.add(held.request.promptTokens, now);
    target.fair.charge(flow.fairIndex, held.cost);
    customer(flow.customer).limiter.started(tokensOf(held));
    ++running_;
}

void AdmissionState::leaveQueue(Slot slot)
{
    HeldRequest &held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    Pool &target = pool(flow.pool);
    flow.waiting.erase({held.request.priority, held.giveUpAt, held.arrival, slot});
    flow.queuedTokens -= held.request.promptTokens;
    target.queuedTokens -= held.request.promptTokens;
    target.queued -= 1;
    --customer(flow.customer).queued;
    --queued_;
    expiries_.erase({held.giveUpAt.count(), slot});
    if (flow.waiting.empty())
        target.fair.deactivate(flow.fairIndex);
}

/**
    Takes a flow out of the fair queue until its customer's limits have room again.

    Its first request waits a bounded time, in which a budget lent by another instance may arrive.
*/
void AdmissionState::holdBack(std::uint32_t flowIndex, RefusalCode code, Millis now)
{
    Flow &flow = flows_[flowIndex];
    Customer &owner = customer(flow.customer);
    pool(flow.pool).fair.deactivate(flow.fairIndex);
    owner.shortOfBudget = true;
    if (!flow.limited) {
        flow.limited = true;
        if (owner.limitedFlows.empty())
            limitedCustomers_.push_back(flow.customer);
        owner.limitedFlows.push_back(flowIndex);
    }
    const Slot slot = flow.waiting.begin()->slot;
    HeldRequest &held = slab_.at(slot);
    if (held.limited || now + options_.limitWait >= held.giveUpAt)
        return;
    held.limited = true;
    held.limitCode = code;
    expiries_.erase({held.giveUpAt.count(), slot});
    flow.waiting.erase(flow.waiting.begin());
    held.giveUpAt = now + options_.limitWait;
    expiries_.emplace(held.giveUpAt.count(), slot);
    flow.waiting.insert({held.request.priority, held.giveUpAt, held.arrival, slot});
}

void AdmissionState::retryLimited(CustomerIndex index, AdmissionChanges &changes, Millis now)
{
    Customer &owner = customer(index);
    if (owner.limitedFlows.empty() || owner.limiter.heldBackBy(now))
        return;
    std::vector<std::uint32_t> flows;
    flows.swap(owner.limitedFlows);
    limitedCustomers_.erase(std::remove(limitedCustomers_.begin(), limitedCustomers_.end(), index),
                            limitedCustomers_.end());
    for (std::uint32_t flowIndex : flows) {
        Flow &flow = flows_[flowIndex];
        flow.limited = false;
        if (!flow.waiting.empty())
            pool(flow.pool).fair.activate(flow.fairIndex);
    }
    for (std::uint32_t flowIndex : flows)
        pump(flows_[flowIndex].pool, changes, now);
}

void AdmissionState::pump(PoolIndex poolIndex, AdmissionChanges &changes, Millis now)
{
    while (const auto next = pool(poolIndex).fair.next()) {
        Pool &target = pool(poolIndex);
        const std::uint32_t flowIndex = target.flowOfFair[*next];
        const Slot slot = flows_[flowIndex].waiting.begin()->slot;
        if (slab_.at(slot).giveUpAt < now) {
            giveUp(slot, changes, now);
            continue;
        }
        if (!fits(target, slab_.at(slot))) {
            target.window.heldBack();
            return;
        }
        if (const auto limit = customer(flows_[flowIndex].customer).limiter.heldBackBy(now)) {
            holdBack(flowIndex, *limit, now);
            continue;
        }
        admit(slot, now);
        leaveQueue(slot);
        changes.admitted.push_back(slab_.ticketOf(slot));
    }
}

void AdmissionState::giveUp(Slot slot, AdmissionChanges &changes, Millis now)
{
    const HeldRequest &held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    RefusedTicket refused;
    refused.ticket = slab_.ticketOf(slot);
    refused.code = held.limited ? held.limitCode : hopelessCode(held);
    const Millis limitWait = customer(flow.customer).limiter.wait(0, 0, now);
    refused.retryAfter = held.limited ? std::max(limitWait, shortestRetryAfter)
                                      : retryAfterOverload(pool(flow.pool));
    leaveQueue(slot);
    slab_.remove(slot);
    changes.refused.push_back(refused);
}

void AdmissionState::expire(AdmissionChanges &changes, Millis now)
{
    while (!expiries_.empty() && expiries_.begin()->first < now.count())
        giveUp(expiries_.begin()->second, changes, now);
}

void AdmissionState::releaseReading(HeldRequest &held)
{
    if (held.phase != RequestPhase::Reading)
        return;
    held.phase = RequestPhase::Writing;
    pool(held.request.pool).readingTokens -= held.request.promptTokens;
}

AdmissionChanges AdmissionState::firstToken(AdmissionTicket ticket, Millis now)
{
    AdmissionChanges changes;
    const Slot slot = slab_.find(ticket);
    if (slot == RequestSlab::none || slab_.at(slot).phase != RequestPhase::Reading)
        return changes;
    HeldRequest &held = slab_.at(slot);
    held.firstTokenAt = now;
    learnFirstToken(held, pool(held.request.pool), now);
    releaseReading(held);
    pump(slab_.at(slot).request.pool, changes, now);
    return changes;
}

void AdmissionState::end(Slot slot, double outputTokens, Millis now)
{
    HeldRequest &held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    Pool &target = pool(flow.pool);
    releaseReading(held);
    target.running -= 1;
    --running_;
    const double more = outputTokens - held.expectedOutputTokens;
    target.fair.correct(flow.fairIndex, costOf(held, outputTokens) - held.cost);
    customer(flow.customer).limiter.finished(more);
    const double hold = (now - held.admittedAt).toSeconds();
    target.meanHoldSeconds +=
        target.meanHoldSeconds > 0 ? holdGain * (hold - target.meanHoldSeconds) : hold;
}

AdmissionChanges AdmissionState::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                          Millis now)
{
    AdmissionChanges changes;
    const Slot slot = slab_.find(ticket);
    if (slot == RequestSlab::none || slab_.at(slot).phase == RequestPhase::Queued)
        return changes;
    end(slot, outputTokens, now);
    const HeldRequest held = slab_.at(slot);
    Flow &flow = flows_[held.flow];
    flow.meanOutputTokens += flow.meanOutputTokens > 0
        ? outputGain * (outputTokens - flow.meanOutputTokens)
        : outputTokens;
    if (held.phase == RequestPhase::Writing && outputTokens > 1) {
        Pool &target = pool(held.request.pool);
        const double each = (now - held.firstTokenAt).toSeconds() / (outputTokens - 1);
        target.window.answer({each, target.row.tokenTarget.toSeconds()}, now);
    }
    slab_.remove(slot);
    retryLimited(held.request.customer, changes, now);
    pump(held.request.pool, changes, now);
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
        leaveQueue(slot);
    else
        end(slot, 0, now);
    slab_.remove(slot);
    retryLimited(request.customer, changes, now);
    pump(request.pool, changes, now);
    return changes;
}

AdmissionChanges AdmissionState::tick(Millis now)
{
    AdmissionChanges changes;
    expire(changes, now);
    const std::vector<CustomerIndex> limited = limitedCustomers_;
    for (CustomerIndex index : limited)
        retryLimited(index, changes, now);
    for (PoolIndex index = 0; index < pools_.size(); ++index)
        pump(index, changes, now);
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

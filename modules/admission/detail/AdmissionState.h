#pragma once

#include "admission/AdmissionController.h"
#include "admission/detail/RequestSlab.h"
#include "admission/limits/CustomerLimiter.h"
#include "admission/queue/FairQueue.h"
#include "admission/queue/WindowController.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminrail::detail {

/** A mean over the last seconds, of amounts that arrive one by one. */
class RecentRate
{
public:
    void add(double amount, Millis now);
    double perSecond(Millis now);

private:
    void decay(Millis now);

    double level_ = 0;
    Millis updated_;
};

/** The waiting requests of one customer at one pool; batch work apart. */
struct Flow
{
    CustomerIndex customer = noIndex;
    PoolIndex pool = noIndex;
    bool batch = false;
    /** Best first: priority, then the time by which it must be admitted, then arrival. */
    struct Place
    {
        Priority priority;
        Millis giveUpAt;
        std::uint64_t arrival;
        RequestSlab::Slot slot;
        bool operator<(const Place &other) const;
    };
    std::set<Place> waiting;
    std::uint32_t fairIndex = 0;
    double queuedTokens = 0;
    /** True while the customer's limits keep the flow out of the fair queue. */
    bool limited = false;
    /** Mean of output tokens, for estimates; 0 until one is known. */
    double meanOutputTokens = 0;
};

/** What is in progress and waits at one pool. */
struct Pool
{
    AdmittedPool row;
    AdmissionCapacity capacity;
    FairQueue fair;
    std::vector<std::uint32_t> flowOfFair;
    double running = 0;
    double readingTokens = 0;
    double queuedTokens = 0;
    double queued = 0;
    /** Mean time that a request holds its slot, for predictions; 0 until known. */
    double meanHoldSeconds = 0;
    WindowController window;
    /** Prompt tokens admitted lately: the speed at which the queue really moves. */
    RecentRate admittedTokens;
    /** Means of the time from admission to first token, and of what reading alone would take. */
    double meanFirstTokenSeconds = 0;
    double meanReadingSeconds = 0;
};

/** One customer at this instance. */
struct Customer
{
    CustomerLimiter limiter;
    double weight = 1;
    bool present = false;
    std::uint32_t queued = 0;
    RecentRate requests;
    RecentRate tokens;
    bool shortOfBudget = false;
    /** Flows that wait for the customer's limits. */
    std::vector<std::uint32_t> limitedFlows;
};

/** The state machine behind AdmissionController. */
class AdmissionState
{
public:
    explicit AdmissionState(AdmissionOptions options) : options_(options) { }

    void configure(const AdmissionSettings &settings, Millis now);
    AdmissionDecision submit(const AdmissionRequest &request, Millis now);
    AdmissionChanges firstToken(AdmissionTicket ticket, Millis now);
    AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now);
    AdmissionChanges cancel(AdmissionTicket ticket, Millis now);
    AdmissionChanges tick(Millis now);

    Customer &customer(CustomerIndex index);
    Pool &pool(PoolIndex index);
    /** Tries again what the customer's limits held back. */
    void retryLimited(CustomerIndex index, AdmissionChanges &changes, Millis now);
    std::size_t queuedCount() const { return queued_; }
    std::size_t runningCount() const { return running_; }
    std::size_t memoryBytes() const;

private:
    using Slot = RequestSlab::Slot;

    std::uint32_t flowFor(const AdmissionRequest &request);
    double tokensOf(const HeldRequest &held) const;
    double costOf(const HeldRequest &held, double outputTokens) const;
    double readingSeconds(const Pool &pool, double promptTokens) const;
    double targetSeconds(const Pool &pool, const AdmissionRequest &request) const;
    double expectedFirstToken(const Pool &pool, double promptTokens) const;
    void learnFirstToken(const HeldRequest &held, Pool &pool, Millis now) const;
    Millis latestStart(const HeldRequest &held, const Pool &pool, Millis now) const;
    double predictedWait(const Flow &flow, Pool &pool, Millis now) const;
    bool fits(const Pool &pool, const HeldRequest &held) const;
    AdmissionDecision refuse(Slot slot, RefusalCode code, Millis retryAfter);
    AdmissionDecision enqueue(Slot slot, Millis now);
    void admit(Slot slot, Millis now);
    void leaveQueue(Slot slot);
    void holdBack(std::uint32_t flowIndex, RefusalCode code, Millis now);
    void pump(PoolIndex poolIndex, AdmissionChanges &changes, Millis now);
    void expire(AdmissionChanges &changes, Millis now);
    void giveUp(Slot slot, AdmissionChanges &changes, Millis now);
    RefusalCode hopelessCode(const HeldRequest &held) const;
    Millis retryAfterOverload(const Pool &pool) const;
    void releaseReading(HeldRequest &held);
    void end(Slot slot, double outputTokens, Millis now);

    AdmissionOptions options_;
    RequestSlab slab_;
    std::vector<Customer> customers_;
    std::vector<Pool> pools_;
    std::vector<Flow> flows_;
    std::unordered_map<std::uint64_t, std::uint32_t> flowIndexes_;
    /** Every queued request by the time at which it is given up. */
    std::set<std::pair<std::int64_t, Slot>> expiries_;
    std::vector<CustomerIndex> limitedCustomers_;
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace cuminrail::detail

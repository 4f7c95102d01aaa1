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

/** Exponentially decaying rate of amounts added one by one. */
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

/** The queued requests of one customer at one pool; batch work has a flow of its own. */
struct Flow
{
    CustomerIndex customer = noIndex;
    PoolIndex pool = noIndex;
    bool batch = false;
    /** Order of admission: by priority, then expiry, then arrival. */
    struct QueuePosition
    {
        Priority priority;
        Millis expiresAt;
        std::uint64_t arrival;
        RequestSlab::Slot slot;
        bool operator<(const QueuePosition &other) const;
    };
    std::set<QueuePosition> waiting;
    std::uint32_t fairIndex = 0;
    double queuedTokens = 0;
    /** True while the customer's limits exclude the flow from the fair queue. */
    bool deferredByLimit = false;
    /** Moving average of output tokens per request, for estimates; 0 until the first value. */
    double meanOutputTokens = 0;
};

/** State of one pool: work in progress, queue, latency averages. */
struct Pool
{
    AdmissionPool settings;
    AdmissionCapacity capacity;
    FairQueue fair;
    std::vector<std::uint32_t> flowByFairIndex;
    double running = 0;
    double prefillTokens = 0;
    double queuedTokens = 0;
    double queued = 0;
    /** Moving average of the time a request occupies its slot; 0 until the first value. */
    double meanRunSeconds = 0;
    WindowController window;
    /** Rate of admitted prompt tokens, at which the queue actually drains. */
    RecentRate admittedTokens;
    /** Moving averages of the time from admission to first token, and of nominal prefill time. */
    double meanFirstTokenSeconds = 0;
    double meanPrefillSeconds = 0;
};

/** State of one customer at this instance. */
struct Customer
{
    CustomerLimiter limiter;
    double weight = 1;
    bool present = false;
    std::uint32_t queued = 0;
    RecentRate requestRate;
    RecentRate tokenRate;
    bool shortOfBudget = false;
    /** Flows deferred by the customer's limits. */
    std::vector<std::uint32_t> deferredFlows;
};

/** Implementation of AdmissionController. */
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
    /** Admits deferred requests of the customer as far as its limits allow. */
    void retryDeferred(CustomerIndex index, AdmissionChanges &changes, Millis now);
    std::size_t queuedCount() const { return queued_; }
    std::size_t runningCount() const { return running_; }
    std::size_t memoryBytes() const;

private:
    using Slot = RequestSlab::Slot;

    std::uint32_t flowFor(const AdmissionRequest &request);
    double tokensOf(const RequestEntry &entry) const;
    double costOf(const RequestEntry &entry, double outputTokens) const;
    double prefillSeconds(const Pool &pool, double promptTokens) const;
    double targetSeconds(const Pool &pool, const AdmissionRequest &request) const;
    double estimatedFirstToken(const Pool &pool, double promptTokens) const;
    void recordFirstToken(const RequestEntry &entry, Pool &pool, Millis now) const;
    Millis latestAdmission(const RequestEntry &entry, const Pool &pool, Millis now) const;
    double predictedWait(const Flow &flow, Pool &pool, Millis now) const;
    bool hasCapacityFor(const Pool &pool, const RequestEntry &entry) const;
    AdmissionDecision refuse(Slot slot, RefusalCode code, Millis retryAfter);
    AdmissionDecision enqueue(Slot slot, Millis now);
    void admit(Slot slot, Millis now);
    void removeFromQueue(Slot slot);
    void deferFlow(std::uint32_t flowIndex, RefusalCode code, Millis now);
    void admitQueued(PoolIndex poolIndex, AdmissionChanges &changes, Millis now);
    void expire(AdmissionChanges &changes, Millis now);
    void rejectExpired(Slot slot, AdmissionChanges &changes, Millis now);
    RefusalCode missedTargetCode(const RequestEntry &entry) const;
    Millis retryAfterOverload(const Pool &pool) const;
    void releasePrefill(RequestEntry &entry);
    void endRunning(Slot slot, double outputTokens, Millis now);

    AdmissionOptions options_;
    RequestSlab slab_;
    std::vector<Customer> customers_;
    std::vector<Pool> pools_;
    std::vector<Flow> flows_;
    std::unordered_map<std::uint64_t, std::uint32_t> flowIndexes_;
    /** All queued requests by expiry time. */
    std::set<std::pair<std::int64_t, Slot>> expiries_;
    std::vector<CustomerIndex> deferredCustomers_;
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace cuminrail::detail

#pragma once

#include "admission/AdmissionTypes.h"
#include "admission/limits/CustomerLimiter.h"
#include "core/events/Event.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace cuminrail {

namespace detail {
class AdmissionState;
}

/** Tunables of the admission policy; docs/LIMITS.md explains them. */
struct AdmissionOptions
{
    /** Prompt tokens in prefill, as a share of what the pool does within its first-token target. */
    double prefillWindow = 0.6;
    /** A request expires when its estimated first token would exceed this part of its target. */
    double targetTimeoutFactor = 0.9;
    /** The target of a standard request, as a multiple of the target of an interactive one. */
    double standardTargetFactor = 4;
    /** Every request may wait at least this share of its target. */
    double minWaitFactor = 0.1;
    /** Share of the target that a request may spend between admission and first token. */
    double engineTargetFactor = 1.0;
    /** How long a batch request without a deadline may wait. */
    Millis batchTimeout = Millis::minutes(5);
    /** The target of a long prompt is at least this multiple of its prefill time. */
    double prefillTargetFactor = 2;
    /** Estimated time per output token as a share of the token target, for deadline checks. */
    double tokenTimeFactor = 0.6;
    /** How long a request is deferred by its customer's limits before it is refused. */
    Millis limitTimeout = Millis(500);
    /** Cost of an output token relative to a prompt token. */
    double outputTokenCost = 4;
    /** Cost factor of batch work, so that it yields to other work without starving. */
    double batchCost = 8;
    /** Maximum number of requests queued at one instance, which bounds its memory. */
    std::size_t maxQueued = 4096;
    /** Burst size of a customer's rate limits, as the time over which unused rate accumulates. */
    Millis burst = Millis::seconds(2);
};

/** A customer's current use of this instance, for `/state` and for the budget ledger. */
struct CustomerUse
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /** Recent rate of the customer's requests, whether admitted or not. */
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    /** True when its limits deferred or refused a request since the last customerUse(). */
    bool shortOfBudget = false;
};

/**
    Decides which request runs next at this instance: customer limits, fair shares, early refusal.

    Requests are queued here and not at the engines, because only this queue is ordered fairly. The
    work in progress at a pool is bounded by the instance's share of its capacity (setCapacity()).
    Queued requests are admitted by start-time fair queueing over customers, by cost in tokens;
    within a customer by priority, then deadline.

    Not thread-safe: the caller holds one mutex around each call. Calls take microseconds and invoke
    no callbacks. A thousand requests a second take less than one percent of a core.

    Call order for a request: submit(); if queued, its ticket appears once in an AdmissionChanges;
    once admitted, firstToken() and finished(), or cancel() at any time instead. The caller must
    handle every returned AdmissionChanges at once: tickets in `refused` are invalid, tickets in
    `admitted` occupy capacity.
*/
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionOptions options = {});
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /** Applies new settings. Requests in progress keep their tickets. */
    void configure(const AdmissionSettings &settings, Millis now);

    /** Sets this instance's share of a pool's capacity. @see instanceCapacity */
    void setCapacity(PoolIndex pool, const AdmissionCapacity &capacity);

    /** Returns what this instance has in progress at a pool. */
    PoolUse use(PoolIndex pool) const;

    /**
        Sets the part of a customer's limits that this instance may use now.

        Limits that the customer does not have are ignored. Before the first call the full limits
        apply. @see BudgetLedger
    */
    void setLocalShare(CustomerIndex customer, const LocalShare &share, Millis now);

    /** Admits, queues or refuses a new request. */
    AdmissionDecision submit(const AdmissionRequest &request, Millis now);

    /** Call when the first token of an admitted request arrives: prefill is done. */
    AdmissionChanges firstToken(AdmissionTicket ticket, Millis now);

    /** Call when an admitted request has ended. @param outputTokens  the number it produced. */
    AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now);

    /** Removes a queued or admitted request whose caller disconnected, and charges no output. */
    AdmissionChanges cancel(AdmissionTicket ticket, Millis now);

    /** Refuses expired requests and admits deferred ones. Call about every 10 ms. */
    AdmissionChanges tick(Millis now);

    std::size_t queued() const;
    std::size_t running() const;
    CustomerUse customerUse(CustomerIndex customer, Millis now);

    /** Removes credit from a customer's token buckets to lend it. Returns the amount removed. */
    LocalShare takeCredit(CustomerIndex customer, const LocalShare &wanted, Millis now);
    AdmissionChanges addCredit(CustomerIndex customer, const LocalShare &credit, Millis now);

    /** Returns the estimated memory used for customers and requests, for the capacity page. */
    std::size_t memoryBytes() const;

private:
    std::unique_ptr<detail::AdmissionState> state_;
};

} // namespace cuminrail

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

/** Constants of the admission policy. docs/LIMITS.md says how they were chosen. */
struct AdmissionOptions
{
    /** Prompt tokens in progress, as a share of what is read within the first-token target. */
    double prefillWindow = 0.6;
    /** An interactive request is hopeless past this multiple of the first-token target... */
    double interactivePatience = 0.9;
    /** ... and a standard one past this multiple. */
    double standardPatience = 4;
    /** ... but each may wait for this share of its target. */
    double smallestWait = 0.1;
    /** Share of the target that a request may spend between admission and first token. */
    double engineShare = 1.0;
    /** A batch request without a deadline waits this long. */
    Millis batchPatience = Millis::minutes(5);
    /** Where a prompt alone takes long to read, its target is this multiple of that time. */
    double readingPatience = 2;
    /** Share of the token target that an answer's tokens take, for deadlines. */
    double tokenTimeShare = 0.6;
    /** How long a request waits for its customer's limit before it is refused. */
    Millis limitWait = Millis(500);
    /** Output tokens weigh this much more than prompt tokens. */
    double outputTokenCost = 4;
    /** Batch work is charged this much more, so that it yields and still is not starved. */
    double batchCost = 8;
    /** Requests that may wait at one instance: bounds memory. */
    std::size_t maxQueued = 4096;
    /** How long a customer's limit may be saved up, as a burst. */
    Millis burst = Millis::seconds(2);
};

/** What the admission controller knows of a customer, for `/state` and for budgets. */
struct CustomerUse
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /** What the customer asked for lately, admitted or not. */
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    /** True when its limits held a request back or refused one since the last look. */
    bool shortOfBudget = false;
};

/**
    Decides which request runs next at this instance: limits, fair shares, early refusal.

    Requests wait here and not at the engines, because only here are they ordered fairly. What is
    in progress at a pool is bounded by the instance's share of its capacity (setCapacity). Waiting
    requests are served by start-time fair queueing over customers, by cost in tokens; within a
    customer by priority, then deadline.

    How it is guarded: not thread-safe. The adapter holds one mutex around each call; calls take
    microseconds and never call out. At a thousand requests a second an instance spends under one
    percent of a core inside.

    A request's life: submit(); if queued, its ticket appears once in an AdmissionChanges; once
    admitted firstToken() and finished(), or cancel() at any time instead. Every call that returns
    AdmissionChanges must be acted upon at once: tickets in `refused` are over, tickets in
    `admitted` hold capacity.
*/
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionOptions options = {});
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /** Takes newer settings. Requests in progress keep their tickets. */
    void configure(const AdmissionSettings &settings, Millis now);

    /** Sets this instance's share of a pool's capacity. @see instanceCapacity */
    void setCapacity(PoolIndex pool, const AdmissionCapacity &capacity);

    /** Returns what this instance has in progress at a pool. */
    PoolUse use(PoolIndex pool) const;

    /**
        Sets the part of a customer's limits that this instance may use now.

        Kinds of limit that the customer does not have are not looked at. Until it is called the
        whole limit counts. @see BudgetLedger
    */
    void setLocalShare(CustomerIndex customer, const LocalShare &share, Millis now);

    /** A request arrived. */
    AdmissionDecision submit(const AdmissionRequest &request, Millis now);

    /** The first token of an admitted request arrived: its prompt is read. */
    AdmissionChanges firstToken(AdmissionTicket ticket, Millis now);

    /** An admitted request is over. @param outputTokens what it really produced. */
    AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now);

    /** The caller of a waiting or admitted request left, and nothing ran for it. */
    AdmissionChanges cancel(AdmissionTicket ticket, Millis now);

    /** Time passed: refuses what is hopeless, admits what limits held back. Every 10 ms or so. */
    AdmissionChanges tick(Millis now);

    std::size_t queued() const;
    std::size_t running() const;
    CustomerUse customerUse(CustomerIndex customer, Millis now);

    /** Moves credit of a customer's buckets, when a budget is lent. Returns what was there. */
    LocalShare takeCredit(CustomerIndex customer, const LocalShare &wanted, Millis now);
    AdmissionChanges addCredit(CustomerIndex customer, const LocalShare &credit, Millis now);

    /** Returns the bytes held for customers and requests, for the capacity page. */
    std::size_t memoryBytes() const;

private:
    std::unique_ptr<detail::AdmissionState> state_;
};

} // namespace cuminrail

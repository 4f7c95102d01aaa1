#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

/** Names a request that waits or runs, from submit() to finished() or cancel(). Never zero. */
using AdmissionTicket = std::uint64_t;

/** Why a request was refused; the names are the stable codes of docs/INTERFACES.md. */
enum class RefusalCode : std::uint8_t {
    RateLimited,
    ConcurrencyLimited,
    Overloaded,
    DeadlineUnreachable,
};

inline constexpr NameTable<RefusalCode, 4> refusalCodeNames{{{
    {RefusalCode::RateLimited, "rate_limited"},
    {RefusalCode::ConcurrencyLimited, "concurrency_limited"},
    {RefusalCode::Overloaded, "overloaded"},
    {RefusalCode::DeadlineUnreachable, "deadline_unreachable"},
}}};

/** What admission has to know of a request. */
struct AdmissionRequest
{
    CustomerIndex customer = noIndex;
    PoolIndex pool = noIndex;
    Priority priority = Priority::Standard;
    std::uint32_t promptTokens = 0;
    /** The caller's max_tokens, or the model's limit. */
    std::uint32_t maxOutputTokens = 0;
    /** The instant after which the answer is of no use; Millis::never() for none. */
    Millis deadline = Millis::never();
};

enum class AdmissionKind : std::uint8_t {
    Admitted,
    /** Wait for the ticket in an AdmissionChanges. */
    Queued,
    /** Answer the caller now. */
    Refused,
};

/** The answer to submit(). */
struct AdmissionDecision
{
    AdmissionKind kind = AdmissionKind::Refused;
    /** Zero when refused. */
    AdmissionTicket ticket = 0;
    /** Output tokens that the request is expected to produce; for routing. */
    std::uint32_t expectedOutputTokens = 0;
    RefusalCode code = RefusalCode::Overloaded;
    /** When coming back makes sense. */
    Millis retryAfter;
};

/** A ticket that waited and is given up; its caller gets the answer at once. */
struct RefusedTicket
{
    AdmissionTicket ticket = 0;
    RefusalCode code = RefusalCode::Overloaded;
    Millis retryAfter;
};

/** What a call changed for requests that waited. */
struct AdmissionChanges
{
    std::vector<AdmissionTicket> admitted;
    std::vector<RefusedTicket> refused;
};

/** One customer's row, by CustomerIndex. */
struct AdmittedCustomer
{
    CustomerId id;
    double weight = 1;
    /** Over all instances; zero for no limit. */
    CustomerLimits limits;
    bool present = false;
};

/** One model's or service's row, by PoolIndex. */
struct AdmittedPool
{
    Millis firstTokenTarget{750};
    Millis tokenTarget{51};
    /** A plain service: neither window nor tokens, customer limits alone. */
    bool isService = false;
};

/** What admission reads of the settings. */
struct AdmissionSettings
{
    std::vector<AdmittedCustomer> customers;
    std::vector<AdmittedPool> pools;
};

/** What this instance may have in progress at one pool: its share of what the pool carries. */
struct AdmissionCapacity
{
    /** Requests at once; 0 for no limit. */
    double slots = 0;
    /** Speed at which prompts are read; 0 for no limit. */
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    /** Speed at which one engine reads one prompt; 0 when unknown. */
    double enginePrefillTokensPerSecond = 0;
};

/** How much of a pool is in use, by load reports and own counters. */
struct PoolUse
{
    double requests = 0;
    /** Prompt tokens that wait to be read. */
    double promptTokens = 0;
};

/**
    Returns how much of a pool this instance may have in progress.

    An equal share for each instance, and beyond it a part of what the reports say is free, so that
    no capacity idles when the balancer spreads callers unevenly. All instances may take a part of
    the same free capacity until the next report: at most twice what was free, for one report's
    age; the excess waits at the engines.

    @param whole      what the pool carries
    @param used       what all instances use of it
    @param own        what this instance uses of it
    @param instances  live instances, at least 1
    @param window     how long a prompt may wait to be read
*/
AdmissionCapacity instanceCapacity(const AdmissionCapacity &whole, const PoolUse &used,
                                   const PoolUse &own, double instances,
                                   Millis window = Millis(450));

} // namespace cuminrail

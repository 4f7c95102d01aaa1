#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

/** Identifies a queued or running request, from submit() to finished() or cancel(). Never zero. */
using AdmissionTicket = std::uint64_t;

/** Why a request was refused; the names are the error codes listed in docs/INTERFACES.md. */
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

/** The properties of a request that admission depends on. */
struct AdmissionRequest
{
    CustomerIndex customer = noIndex;
    PoolIndex pool = noIndex;
    Priority priority = Priority::Standard;
    std::uint32_t promptTokens = 0;
    /** The caller's max_tokens, or the model's limit. */
    std::uint32_t maxOutputTokens = 0;
    /** The instant after which the response is useless; Millis::never() for none. */
    Millis deadline = Millis::never();
};

enum class AdmissionKind : std::uint8_t {
    Admitted,
    /** A later AdmissionChanges contains the ticket. */
    Queued,
    /** The caller gets the refusal at once. */
    Refused,
};

/** The result of submit(). */
struct AdmissionDecision
{
    AdmissionKind kind = AdmissionKind::Refused;
    /** Zero when refused. */
    AdmissionTicket ticket = 0;
    /** Estimated output tokens of the request, for routing. */
    std::uint32_t expectedOutputTokens = 0;
    RefusalCode code = RefusalCode::Overloaded;
    /** Delay after which a retry may be admitted. */
    Millis retryAfter;
};

/** A queued request that is refused; its caller gets the refusal at once. */
struct RefusedTicket
{
    AdmissionTicket ticket = 0;
    RefusalCode code = RefusalCode::Overloaded;
    Millis retryAfter;
};

/** Queued requests that a call admitted or refused. */
struct AdmissionChanges
{
    std::vector<AdmissionTicket> admitted;
    std::vector<RefusedTicket> refused;
};

/** Admission settings of one customer. */
struct AdmissionCustomer
{
    CustomerId id;
    double weight = 1;
    /** Limits over all instances; zero for no limit. */
    CustomerLimits limits;
    bool present = false;
};

/** Admission settings of one model or service. */
struct AdmissionPool
{
    Millis firstTokenTarget{750};
    Millis tokenTarget{51};
    /** A plain service: only the customer limits apply, neither the window nor token counts. */
    bool isService = false;
};

/** The settings that admission depends on, indexed by CustomerIndex and PoolIndex. */
struct AdmissionSettings
{
    std::vector<AdmissionCustomer> customers;
    std::vector<AdmissionPool> pools;
};

/** What may be in progress at a pool, in total or from one instance. */
struct AdmissionCapacity
{
    /** Maximum concurrent requests; 0 for no limit. */
    double slots = 0;
    /** Total prefill rate; 0 for no limit. */
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    /** Prefill rate of a single engine; 0 when unknown. */
    double enginePrefillTokensPerSecond = 0;
};

/** How much of a pool is in use, from load reports and own counters. */
struct PoolUse
{
    double requests = 0;
    /** Prompt tokens queued for or in prefill. */
    double promptTokens = 0;
};

/**
    Returns the part of a pool's capacity that this instance may use.

    This is an equal share for each instance plus a part of what is free according to the reports,
    so that no capacity idles when the load balancer distributes callers unevenly. Until the next
    report, all instances may take a part of the same free capacity: at most twice what was free,
    for one report's age; the excess is queued at the engines.

    @param whole      the pool's total capacity
    @param used       use by all instances
    @param own        use by this instance
    @param instances  number of live instances, at least 1
    @param window     how long a prompt may wait for prefill
*/
AdmissionCapacity instanceCapacity(const AdmissionCapacity &whole, const PoolUse &used,
                                   const PoolUse &own, double instances,
                                   Millis window = Millis(450));

} // namespace cuminrail

#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** Unit in which a customer's use is counted. */
enum class QuotaUnit : std::uint8_t { Requests, Tokens };

inline constexpr NameTable<QuotaUnit, 2> quotaUnitNames{{{
    {QuotaUnit::Requests, "requests"},
    {QuotaUnit::Tokens, "tokens"},
}}};

/** Token bucket for a customer's use of the system, over all instances together. */
struct CustomerQuota
{
    QuotaUnit unit = QuotaUnit::Requests;
    /** Refill rate: requests or tokens per second. */
    double perSecond = 0;
    /** Amount that an idle customer can accumulate. */
    double burst = 0;
    /** Tokens counted for a request that does not state the size of its prompt. */
    double plainTokens = 1;
};

/**
    How far the use of a customer may exceed its quota, since no count over many instances is exact.
*/
struct QuotaTolerance
{
    /** Period over which use is compared with the quota. */
    Millis window = Millis::seconds(8);
    /** Tolerated excess, as a share of what the quota allows in a window. */
    double excess = 0;
    /** Fixed tolerated excess in addition, in the quota's unit. */
    double slack = 0;
    /** Share of the tolerance that is granted beyond the quota in each window. */
    double granted = 0.35;

    /** Returns by how much a customer may exceed its quota in a window, in the quota's unit. */
    double of(const CustomerQuota &quota) const
    {
        return excess * (quota.perSecond * window.toSeconds() + quota.burst) + slack;
    }
};

} // namespace cuminrail

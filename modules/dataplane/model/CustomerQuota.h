#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** In what a customer's use is counted. */
enum class QuotaUnit : std::uint8_t { Requests, Tokens };

inline constexpr NameTable<QuotaUnit, 2> quotaUnitNames{{{
    {QuotaUnit::Requests, "requests"},
    {QuotaUnit::Tokens, "tokens"},
}}};

/** What a customer may use of the system, over all instances together. */
struct CustomerQuota
{
    QuotaUnit unit = QuotaUnit::Requests;
    /** Requests or tokens a second. */
    double perSecond = 0;
    /** What an idle customer saves up beyond that. */
    double burst = 0;
    /** Tokens that a request counts for that says nothing of its prompt. */
    double plainTokens = 1;
};

/** How far the use of a customer may be over its quota, as no count over many instances is exact.
 */
struct QuotaTolerance
{
    /** The span over which use is judged. */
    Millis window = Millis::seconds(8);
    /** Part of what the quota allows in a window. */
    double excess = 0;
    /** In the quota's unit, besides. */
    double slack = 0;
    /** Part of the tolerance that is granted in each window beyond the quota. */
    double granted = 0.35;

    /** Returns how much over its quota a customer may be in a window, in the quota's unit. */
    double of(const CustomerQuota &quota) const
    {
        return excess * (quota.perSecond * window.toSeconds() + quota.burst) + slack;
    }
};

} // namespace cuminrail

#pragma once

#include "core/ids/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace cuminrail {

/** The usage of a customer: either cumulative or of one window. */
struct UsageCounters
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t requests = 0;
    /** The part of the tokens that was processed by reclaimable upstreams. */
    std::uint64_t reclaimableTokens = 0;

    UsageCounters &operator+=(const UsageCounters &other)
    {
        promptTokens += other.promptTokens;
        outputTokens += other.outputTokens;
        requests += other.requests;
        reclaimableTokens += other.reclaimableTokens;
        return *this;
    }

    /** Returns the increase since an earlier state; never less than zero. */
    UsageCounters increaseSince(const UsageCounters &earlier) const
    {
        const auto more = [](std::uint64_t now, std::uint64_t before) {
            return now > before ? now - before : 0;
        };
        return {more(promptTokens, earlier.promptTokens), more(outputTokens, earlier.outputTokens),
                more(requests, earlier.requests),
                more(reclaimableTokens, earlier.reclaimableTokens)};
    }

    /** Returns the maximum of both for each count. */
    UsageCounters maximumOf(const UsageCounters &other) const
    {
        return {std::max(promptTokens, other.promptTokens),
                std::max(outputTokens, other.outputTokens), std::max(requests, other.requests),
                std::max(reclaimableTokens, other.reclaimableTokens)};
    }

    bool isZero() const
    {
        return promptTokens == 0 && outputTokens == 0 && requests == 0 && reclaimableTokens == 0;
    }

    bool operator==(const UsageCounters &other) const
    {
        return promptTokens == other.promptTokens && outputTokens == other.outputTokens
            && requests == other.requests && reclaimableTokens == other.reclaimableTokens;
    }
};

using CustomerUsage = std::map<CustomerId, UsageCounters>;

/** Adds each customer's counters. */
inline void addUsage(CustomerUsage &sum, const CustomerUsage &more)
{
    for (const auto &[customer, counters] : more)
        sum[customer] += counters;
}

/** Returns the usage of a customer, or zeros. */
inline UsageCounters usageOf(const CustomerUsage &usage, const CustomerId &customer)
{
    const auto found = usage.find(customer);
    return found == usage.end() ? UsageCounters{} : found->second;
}

/** Returns the increase per customer since an earlier state, without zero entries. */
inline CustomerUsage usageIncrease(const CustomerUsage &now, const CustomerUsage &earlier)
{
    CustomerUsage more;
    for (const auto &[customer, counters] : now) {
        const UsageCounters difference = counters.increaseSince(usageOf(earlier, customer));
        if (!difference.isZero())
            more[customer] = difference;
    }
    return more;
}

} // namespace cuminrail

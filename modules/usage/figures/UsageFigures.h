#pragma once

#include "core/ids/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace cuminrail {

/** What a customer used: either since a beginning, or in one window. */
struct UsageFigures
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t requests = 0;
    /** Those of the tokens that ran on reclaimable upstreams. */
    std::uint64_t reclaimableTokens = 0;

    UsageFigures &operator+=(const UsageFigures &other)
    {
        promptTokens += other.promptTokens;
        outputTokens += other.outputTokens;
        requests += other.requests;
        reclaimableTokens += other.reclaimableTokens;
        return *this;
    }

    /** Returns what this has more than an earlier state; never less than nothing. */
    UsageFigures beyond(const UsageFigures &earlier) const
    {
        const auto more = [](std::uint64_t now, std::uint64_t before) {
            return now > before ? now - before : 0;
        };
        return {more(promptTokens, earlier.promptTokens), more(outputTokens, earlier.outputTokens),
                more(requests, earlier.requests),
                more(reclaimableTokens, earlier.reclaimableTokens)};
    }

    /** Returns the greater of both in each figure. */
    UsageFigures atLeast(const UsageFigures &other) const
    {
        return {std::max(promptTokens, other.promptTokens),
                std::max(outputTokens, other.outputTokens), std::max(requests, other.requests),
                std::max(reclaimableTokens, other.reclaimableTokens)};
    }

    bool isZero() const
    {
        return promptTokens == 0 && outputTokens == 0 && requests == 0 && reclaimableTokens == 0;
    }

    bool operator==(const UsageFigures &other) const
    {
        return promptTokens == other.promptTokens && outputTokens == other.outputTokens
            && requests == other.requests && reclaimableTokens == other.reclaimableTokens;
    }
};

using CustomerUsage = std::map<CustomerId, UsageFigures>;

/** Adds each customer's figures. */
inline void addUsage(CustomerUsage &sum, const CustomerUsage &more)
{
    for (const auto &[customer, figures] : more)
        sum[customer] += figures;
}

/** Returns a customer's figures, or zeros. */
inline UsageFigures usageOf(const CustomerUsage &usage, const CustomerId &customer)
{
    const auto found = usage.find(customer);
    return found == usage.end() ? UsageFigures{} : found->second;
}

/** Returns what each customer has more than in an earlier state, without the zeros. */
inline CustomerUsage usageBeyond(const CustomerUsage &now, const CustomerUsage &earlier)
{
    CustomerUsage more;
    for (const auto &[customer, figures] : now) {
        const UsageFigures difference = figures.beyond(usageOf(earlier, customer));
        if (!difference.isZero())
            more[customer] = difference;
    }
    return more;
}

} // namespace cuminrail

#pragma once

#include "usage/counters/UsageCounters.h"

#include <nlohmann/json.hpp>

namespace cuminrail {
namespace detail {

/** Writes the counts as arrays of four, which keeps the counters of many customers small. */
inline nlohmann::json usageToJson(const CustomerUsage &usage)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[customer, counters] : usage)
        json[customer.text()] = {counters.promptTokens, counters.outputTokens, counters.requests,
                                 counters.reclaimableTokens};
    return json;
}

/** Parses the output of usageToJson(); throws nlohmann::json::exception on anything else. */
inline CustomerUsage usageFromJson(const nlohmann::json &json)
{
    CustomerUsage usage;
    for (const auto &[customer, counters] : json.items())
        usage[CustomerId(customer)] = {
            counters.at(0).get<std::uint64_t>(), counters.at(1).get<std::uint64_t>(),
            counters.at(2).get<std::uint64_t>(), counters.at(3).get<std::uint64_t>()};
    return usage;
}

} // namespace detail
} // namespace cuminrail

#pragma once

#include "usage/figures/UsageFigures.h"

#include <nlohmann/json.hpp>

namespace cuminrail {
namespace detail {

/** Writes figures as an array of four, which keeps counters of many customers small. */
inline nlohmann::json usageToJson(const CustomerUsage &usage)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[customer, figures] : usage)
        json[customer.text()] = {figures.promptTokens, figures.outputTokens, figures.requests,
                                 figures.reclaimableTokens};
    return json;
}

/** Reads what usageToJson() wrote; throws nlohmann::json::exception on anything else. */
inline CustomerUsage usageFromJson(const nlohmann::json &json)
{
    CustomerUsage usage;
    for (const auto &[customer, figures] : json.items())
        usage[CustomerId(customer)] = {
            figures.at(0).get<std::uint64_t>(), figures.at(1).get<std::uint64_t>(),
            figures.at(2).get<std::uint64_t>(), figures.at(3).get<std::uint64_t>()};
    return usage;
}

} // namespace detail
} // namespace cuminrail

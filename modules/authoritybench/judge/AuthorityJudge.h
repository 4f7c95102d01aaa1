#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cuminrail::authoritybench {

/** What the stand-ins' records show of one trial. */
struct AuthorityFindings
{
    /** Orders that took effect, and leases of the orders' duty that were granted. */
    std::uint32_t orders = 0;
    std::uint32_t terms = 0;
    std::uint32_t reports = 0;
    /** All below must be 0. */
    /** Orders given to an engine while another was being carried out. */
    std::uint32_t conflicting = 0;
    /** Orders that took effect after the duty had been granted to another, or under another fence.
     */
    std::uint32_t withoutAuthority = 0;
    /** Orders that took effect without being recorded in the store before. */
    std::uint32_t unrecorded = 0;
    /** Fences that two holders had. */
    std::uint32_t sharedFences = 0;
    /** Usage reports refused for other figures, and windows seen with two figures. */
    std::uint32_t conflictingReports = 0;
    std::uint32_t reportsWithoutAuthority = 0;

    bool isGood() const
    {
        return conflicting + withoutAuthority + unrecorded + sharedFences + conflictingReports
            + reportsWithoutAuthority
            == 0;
    }
    nlohmann::json toJson() const;
};

/**
    Judges a trial by records alone: the platform's and each engine's `GET /standin/records`.

    Their times are of one machine's clock, so that they can be compared.
*/
AuthorityFindings judgeAuthority(const nlohmann::json &platform,
                                 const std::vector<nlohmann::json> &engines);

} // namespace cuminrail::authoritybench

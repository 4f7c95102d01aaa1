#pragma once

#include "core/errors/Reason.h"
#include "dataplane/usage/UsageLedger.h"

#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/** An instance's counts of its latest windows, as stored. */
struct LedgerRecord
{
    /** The last window that had ended when this was written; counts up to it are complete. */
    std::int64_t completeThrough = 0;
    std::map<std::int64_t, CustomerCounts> windows;
};

/** Ledgers by owner, an incarnation of an instance: "NAME.INCARNATION". */
using Ledgers = std::map<std::string, LedgerRecord>;

/** Suffix of the name of an object that holds the ledgers of several owners. */
inline constexpr const char *collectedSuffix = "+collected";

/**
    Merges another copy of the same owner's ledger. Counts only grow, so the larger count is the
    newer one, and copies may be merged in any order.
*/
void mergeLedger(LedgerRecord &into, const LedgerRecord &other);

std::string encodeLedger(const LedgerRecord &record);
std::optional<LedgerRecord> decodeLedger(const std::string &text, Reason *lastReason);

std::string encodeLedgers(const Ledgers &ledgers);
std::optional<Ledgers> decodeLedgers(const std::string &text, Reason *lastReason);

/** Encodes and decodes a window's final counts, as stored. */
std::string encodeSeal(const CustomerCounts &counts);
std::optional<CustomerCounts> decodeSeal(const std::string &text, Reason *lastReason);

} // namespace cuminrail

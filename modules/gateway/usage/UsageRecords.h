#pragma once

#include "core/errors/Reason.h"
#include "dataplane/usage/UsageLedger.h"

#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/** An instance's counts of its latest windows, as the store keeps them. */
struct LedgerRecord
{
    /** The last window that was over when this was written: its counts are complete. */
    std::int64_t completeThrough = 0;
    std::map<std::int64_t, CustomerCounts> windows;
};

/** Ledgers by owner: an instance in one of its lives, "NAME.LIFE". */
using Ledgers = std::map<std::string, LedgerRecord>;

/** Ends the name of an object that holds the ledgers of several owners. */
inline constexpr const char *collectedSuffix = "+collected";

/**
    Takes over what another copy of the same instance's ledger knows more of. Counts only grow, so
    the larger figure is the newer one, and copies may come in any order.
*/
void mergeLedger(LedgerRecord &into, const LedgerRecord &other);

std::string encodeLedger(const LedgerRecord &record);
std::optional<LedgerRecord> decodeLedger(const std::string &text, Reason *lastReason);

std::string encodeLedgers(const Ledgers &ledgers);
std::optional<Ledgers> decodeLedgers(const std::string &text, Reason *lastReason);

/** A window's final figures, as the store keeps them. */
std::string encodeSeal(const CustomerCounts &counts);
std::optional<CustomerCounts> decodeSeal(const std::string &text, Reason *lastReason);

} // namespace cuminrail

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** A usage ledger sent to a collector, which writes the ledgers of many instances together. */
struct LedgerMessage
{
    /** The owning instance in its current incarnation, "NAME.INCARNATION". */
    std::string owner;
    /** Version of the ledger; incremented each time it is sent. */
    std::uint64_t version = 0;
    /** The ledger as encoded by encodeLedger(). */
    std::string ledger;
};

/** Acknowledges to the owner that the store has this version of its ledger. */
struct LedgerReceipt
{
    std::string owner;
    std::uint64_t version = 0;
};

std::string encodeLedgerMessage(const LedgerMessage &message);
/** Returns nothing if the frame is no valid ledger message. */
std::optional<LedgerMessage> decodeLedgerMessage(const std::string &frame);

std::string encodeLedgerReceipt(const LedgerReceipt &receipt);
/** Returns nothing if the frame is no valid receipt. */
std::optional<LedgerReceipt> decodeLedgerReceipt(const std::string &frame);

} // namespace cuminrail

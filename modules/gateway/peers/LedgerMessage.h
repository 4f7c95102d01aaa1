#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** A usage ledger that an instance gives to another one, which writes many of them together. */
struct LedgerMessage
{
    /** The owning instance in its present life. */
    std::string owner;
    /** Which state of the ledger this is; rises with each one that is sent. */
    std::uint64_t version = 0;
    /** As encodeLedger() gives it. */
    std::string ledger;
};

/** Tells the owner that the store holds this state of its ledger. */
struct LedgerReceipt
{
    std::string owner;
    std::uint64_t version = 0;
};

std::string encodeLedgerMessage(const LedgerMessage &message);
/** Returns nothing for any other frame. */
std::optional<LedgerMessage> decodeLedgerMessage(const std::string &frame);

std::string encodeLedgerReceipt(const LedgerReceipt &receipt);
/** Returns nothing for any other frame. */
std::optional<LedgerReceipt> decodeLedgerReceipt(const std::string &frame);

} // namespace cuminrail

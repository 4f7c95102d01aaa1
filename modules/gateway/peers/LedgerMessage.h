#pragma once

#include <optional>
#include <string>

namespace cuminrail {

/** A usage ledger that its owner cannot write to the store, for another instance to write. */
struct LedgerMessage
{
    /** The owning instance in its present life. */
    std::string owner;
    /** As encodeLedger() gives it. */
    std::string ledger;
};

std::string encodeLedgerMessage(const LedgerMessage &message);
/** Returns nothing for any other frame. */
std::optional<LedgerMessage> decodeLedgerMessage(const std::string &frame);

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "gateway/peers/LedgerMessage.h"
#include "gateway/usage/UsageRecords.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Collects the ledgers of other instances and writes them to the store as one object.

    An owner gets a receipt only once the store has its ledger. A failed write is not retried: the
    owners time out and turn to another collector, which the store may still serve. The object
    contains the latest windows of each owner, as it is replaced as a whole by each write.
*/
class LedgerCollector
{
public:
    /** Ledgers that arrive within this time after the first one are written together. */
    static constexpr Millis batchDelay = Millis(400);
    /** Number of windows kept for each owner; older windows are never reported. */
    static constexpr std::int64_t retainedWindows = 6;

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        EventSink events;
        std::function<void(const PeerAddress &, const LedgerReceipt &)> acknowledge;
    };

    /** @param name  name of the object that this instance writes */
    LedgerCollector(const std::string &name, Hooks hooks);
    LedgerCollector(const LedgerCollector &) = delete;
    LedgerCollector &operator=(const LedgerCollector &) = delete;

    /** Handles a ledger received from the instance with this address. */
    void handleLedger(const PeerAddress &from, const LedgerMessage &message);
    /** Writes the collected ledgers when due; to be called about ten times a second. */
    void tick();

private:
    struct PendingReceipt
    {
        PeerAddress address;
        LedgerReceipt receipt;
    };

    void write();
    void written(const std::vector<PendingReceipt> &receipts, const StoreReply &reply);
    void evictOldWindows();

    std::string path_;
    Hooks hooks_;
    Ledgers ledgers_;
    /** Receipts to send after the next successful write. */
    std::vector<PendingReceipt> pendingReceipts_;
    Millis writeAt_;
};

} // namespace cuminrail

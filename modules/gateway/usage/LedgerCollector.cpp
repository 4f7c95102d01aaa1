#include "gateway/usage/LedgerCollector.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

LedgerCollector::LedgerCollector(const std::string &name, Hooks hooks)
    : path_("usage/" + name + collectedSuffix), hooks_(std::move(hooks))
{ }

void LedgerCollector::handleLedger(const PeerAddress &from, const LedgerMessage &message)
{
    Reason reason;
    const bool isNamed = !message.owner.empty() && message.owner.find('/') == std::string::npos;
    const auto ledger = isNamed ? decodeLedger(message.ledger, &reason) : std::nullopt;
    if (!ledger) {
        hooks_.events(Event{&events::usageLedgerUnreadable,
                            {{"path", message.owner}, {"reason", reason.toString()}}});
        return;
    }
    if (pendingReceipts_.empty())
        writeAt_ = hooks_.clock.now() + batchDelay;
    mergeLedger(ledgers_[message.owner], *ledger);
    pendingReceipts_.push_back({from, {message.owner, message.version}});
}

void LedgerCollector::tick()
{
    if (!pendingReceipts_.empty() && hooks_.clock.now() >= writeAt_)
        write();
}

void LedgerCollector::write()
{
    evictOldWindows();
    hooks_.store.put(StorePut{path_, encodeLedgers(ledgers_), std::nullopt},
                     [this, receipts = std::exchange(pendingReceipts_, {})](
                         const StoreReply &reply) { written(receipts, reply); });
}

void LedgerCollector::written(const std::vector<PendingReceipt> &receipts, const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        hooks_.events(Event{&events::usageLedgersNotWritten,
                            {{"ledgers", std::to_string(receipts.size())},
                             {"reason", reply.lastReason.toString()}}});
        return;
    }
    for (const PendingReceipt &pending : receipts)
        hooks_.acknowledge(pending.address, pending.receipt);
}

void LedgerCollector::evictOldWindows()
{
    std::int64_t newest = 0;
    for (const auto &[owner, ledger] : ledgers_)
        newest = std::max(newest, ledger.completeThrough);
    const std::int64_t oldest = newest - retainedWindows;
    for (auto entry = ledgers_.begin(); entry != ledgers_.end();) {
        auto &windows = entry->second.windows;
        windows.erase(windows.begin(), windows.lower_bound(oldest));
        entry = entry->second.completeThrough < oldest ? ledgers_.erase(entry) : std::next(entry);
    }
}

} // namespace cuminrail

#include "gateway/usage/LedgerSender.h"

#include "core/events/EventCatalogue.h"
#include "gateway/usage/UsageRecords.h"

#include <algorithm>

namespace cuminrail {

LedgerSender::LedgerSender(std::string owner, const UsageTiming &timing, Hooks hooks)
    : owner_(std::move(owner)), timing_(timing), hooks_(std::move(hooks)),
      flushInterval_(timing.minFlushInterval)
{ }

void LedgerSender::setInstances(std::size_t count)
{
    const Millis scaled = timing_.flushIntervalPerInstance * static_cast<std::int64_t>(count);
    flushInterval_ = std::clamp(scaled, timing_.minFlushInterval,
                                std::max(timing_.minFlushInterval, timing_.window));
}

void LedgerSender::storeRestored()
{
    writtenChanges_ = 0;
    delivery_.reset();
    hasFailed_ = true;
    const auto spread = static_cast<std::uint64_t>(restoreSpread.count());
    nextFlushAt_ = hooks_.clock.now() + Millis(static_cast<std::int64_t>(hooks_.random() % spread));
}

void LedgerSender::tick(std::int64_t closedWindow)
{
    const Millis now = hooks_.clock.now();
    if (delivery_ && delivery_->timeoutAt && now >= *delivery_->timeoutAt)
        tryNextRoute();
    const bool isClosing = closedWindow != closedWindow_;
    // With an interval as long as a window, the ledger is sent only when a window closes; sending
    // it twice a window would add nothing.
    const bool isDue = now >= nextFlushAt_ && (flushInterval_ < timing_.window || hasFailed_);
    if (!isClosing && !isDue)
        return;
    if (isClosing && closedWindow_ != 0) {
        writtenChanges_ = 0; // that the window is complete must be sent even without new counts
        delivery_.reset();
    }
    closedWindow_ = closedWindow;
    flush();
}

void LedgerSender::flush()
{
    const std::uint64_t changes = ledger_.changes();
    if (delivery_ || changes == 0 || changes == writtenChanges_)
        return;
    nextFlushAt_ = hooks_.clock.now() + flushInterval_;
    Delivery delivery;
    delivery.version = ++lastVersion_;
    delivery.changes = changes;
    delivery.ledger = encodeLedger({closedWindow_ - 1, ledger_.windows()});
    delivery.collectors = hooks_.collectors();
    delivery_ = std::move(delivery);
    tryNextRoute();
}

void LedgerSender::tryNextRoute()
{
    Delivery &delivery = *delivery_;
    const std::size_t route = delivery.routesTried++;
    if (route > delivery.collectors.size())
        return giveUp();
    const std::size_t directRoute = isDirectFirst_ ? 0 : delivery.collectors.size();
    if (route == directRoute)
        return writeDirectly();
    const PeerAddress &collector = delivery.collectors[route - (route > directRoute ? 1 : 0)];
    delivery.timeoutAt = hooks_.clock.now() + receiptTimeout;
    hooks_.sendLedger(collector, {owner_, delivery.version, delivery.ledger});
}

void LedgerSender::giveUp()
{
    const auto half = static_cast<std::uint64_t>(retryDelay.count()) / 2;
    const auto jitter = static_cast<std::int64_t>(hooks_.random() % (half + 1));
    hooks_.events(
        Event{&events::storeUnavailable,
              {{"feed", "usage ledger"},
               {"reason", "no collector acknowledged it, and this instance could not write it"}}});
    hasFailed_ = true;
    nextFlushAt_ = hooks_.clock.now() + retryDelay / 2 + Millis(jitter);
    delivery_.reset();
}

void LedgerSender::writeDirectly()
{
    delivery_->timeoutAt.reset();
    const std::uint64_t version = delivery_->version;
    hooks_.store.put(StorePut{"usage/" + owner_, delivery_->ledger, std::nullopt},
                     [this, version](const StoreReply &reply) {
                         if (!delivery_ || delivery_->version != version)
                             return;
                         if (reply.status == StoreStatus::Ok)
                             return delivered();
                         tryNextRoute();
                     });
}

void LedgerSender::handleReceipt(const LedgerReceipt &receipt)
{
    if (delivery_ && receipt.owner == owner_ && receipt.version == delivery_->version)
        delivered();
}

void LedgerSender::delivered()
{
    hasFailed_ = false;
    writtenChanges_ = delivery_->changes;
    delivery_.reset();
}

} // namespace cuminrail

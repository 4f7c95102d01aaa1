#include "gateway/usage/LedgerSender.h"

#include "core/events/EventCatalogue.h"
#include "gateway/usage/UsageRecords.h"

#include <algorithm>

namespace cuminrail {

LedgerSender::LedgerSender(std::string owner, const UsageTiming &timing, Hooks hooks)
    : owner_(std::move(owner)), timing_(timing), hooks_(std::move(hooks)),
      flushEvery_(timing.flushLeast)
{ }

void LedgerSender::setInstances(std::size_t count)
{
    const Millis wanted = timing_.flushEach * static_cast<std::int64_t>(count);
    flushEvery_ =
        std::clamp(wanted, timing_.flushLeast, std::max(timing_.flushLeast, timing_.window));
}

void LedgerSender::tick(std::int64_t closedWindow)
{
    const Millis now = hooks_.clock.now();
    if (delivery_ && delivery_->until && now >= *delivery_->until)
        tryNext();
    const bool isClosing = closedWindow != closedWindow_;
    // One that waits as long as a window sends at its end only; twice would say nothing new.
    const bool isDue = now >= nextFlush_ && (flushEvery_ < timing_.window || hasFailed_);
    if (!isClosing && !isDue)
        return;
    if (isClosing && closedWindow_ != 0) {
        writtenChanges_ = 0; // what is complete is news, even without new counts
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
    nextFlush_ = hooks_.clock.now() + flushEvery_;
    Delivery delivery;
    delivery.version = ++versions_;
    delivery.changes = changes;
    delivery.ledger = encodeLedger({closedWindow_ - 1, ledger_.windows()});
    delivery.collectors = hooks_.collectors();
    delivery_ = std::move(delivery);
    tryNext();
}

void LedgerSender::tryNext()
{
    Delivery &delivery = *delivery_;
    const std::size_t place = delivery.tried++;
    if (place > delivery.collectors.size())
        return giveUp();
    const std::size_t ownPlace = writesFirst_ ? 0 : delivery.collectors.size();
    if (place == ownPlace)
        return writeSelf();
    const PeerAddress &collector = delivery.collectors[place - (place > ownPlace ? 1 : 0)];
    delivery.until = hooks_.clock.now() + receiptTimeout;
    hooks_.give(collector, {owner_, delivery.version, delivery.ledger});
}

void LedgerSender::giveUp()
{
    const auto half = static_cast<std::uint64_t>(pause.count()) / 2;
    const auto spread = static_cast<std::int64_t>(hooks_.random() % (half + 1));
    hooks_.events(Event{&events::storeUnavailable,
                        {{"feed", "usage ledger"},
                         {"reason", "neither a collector nor this instance could write it"}}});
    hasFailed_ = true;
    nextFlush_ = hooks_.clock.now() + pause / 2 + Millis(spread);
    delivery_.reset();
}

void LedgerSender::writeSelf()
{
    delivery_->until.reset();
    const std::uint64_t version = delivery_->version;
    hooks_.store.put(StorePut{"usage/" + owner_, delivery_->ledger, std::nullopt},
                     [this, version](const StoreReply &reply) {
                         if (!delivery_ || delivery_->version != version)
                             return;
                         if (reply.status == StoreStatus::Ok)
                             return delivered();
                         tryNext();
                     });
}

void LedgerSender::received(const LedgerReceipt &receipt)
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

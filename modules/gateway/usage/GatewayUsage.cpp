#include "gateway/usage/GatewayUsage.h"

#include "core/events/EventCatalogue.h"
#include "membership/messages/CborArrayReader.h"

namespace cuminrail {

GatewayUsage::GatewayUsage(const std::string &owner, const UsageTiming &timing, Hooks hooks)
    : timing_(timing), hooks_(std::move(hooks)), duty_(timing, hooks_.duty),
      collector_(owner, collectorHooks()), sender_(owner, timing, senderHooks())
{ }

LedgerCollector::Hooks GatewayUsage::collectorHooks()
{
    const auto acknowledge = [this](const PeerAddress &to, const LedgerReceipt &receipt) {
        if (to.empty())
            sender_.handleReceipt(receipt);
        else
            hooks_.send(to, encodeLedgerReceipt(receipt));
    };
    return {hooks_.duty.store, hooks_.duty.clock, hooks_.duty.events, acknowledge};
}

LedgerSender::Hooks GatewayUsage::senderHooks()
{
    const auto sendLedger = [this](const PeerAddress &to, const LedgerMessage &message) {
        if (to.empty())
            return collector_.handleLedger(to, message);
        std::string frame = encodeLedgerMessage(message);
        // A ledger too large for a frame gets no receipt, so its owner writes it directly in the
        // end.
        if (frame.size() <= FrameLimits::bytes)
            hooks_.send(to, std::move(frame));
    };
    const UsageDuty::Hooks &duty = hooks_.duty;
    return {duty.store, duty.clock, hooks_.random, duty.events, hooks_.collectors, sendLedger};
}

void GatewayUsage::count(const std::string &customer)
{
    sender_.count(duty_.windowAt(hooks_.duty.wallMillis()), customer);
}

void GatewayUsage::tick()
{
    sender_.tick(duty_.windowAt(hooks_.duty.wallMillis() - timing_.finalFlushDelay.count()));
    collector_.tick();
    duty_.tick();
}

bool GatewayUsage::handleFrame(const PeerAddress &from, const std::string &frame)
{
    if (const auto message = decodeLedgerMessage(frame)) {
        collector_.handleLedger(from, *message);
        return true;
    }
    if (const auto receipt = decodeLedgerReceipt(frame)) {
        sender_.handleReceipt(*receipt);
        return true;
    }
    return false;
}

void GatewayUsage::storeRestored()
{
    duty_.storeRestored();
    sender_.storeRestored();
}

} // namespace cuminrail

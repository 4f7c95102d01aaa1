#include "gateway/usage/GatewayUsage.h"

#include "core/events/EventCatalogue.h"
#include "membership/messages/CborArray.h"

namespace cuminrail {

GatewayUsage::GatewayUsage(const std::string &owner, const UsageTiming &timing, Hooks hooks)
    : timing_(timing), hooks_(std::move(hooks)), duty_(timing, hooks_.duty),
      collector_(owner, collectorHooks()), sender_(owner, timing, senderHooks())
{ }

LedgerCollector::Hooks GatewayUsage::collectorHooks()
{
    const auto acknowledge = [this](const PeerAddress &to, const LedgerReceipt &receipt) {
        if (to.empty())
            sender_.received(receipt);
        else
            hooks_.send(to, encodeLedgerReceipt(receipt));
    };
    return {hooks_.duty.store, hooks_.duty.clock, hooks_.duty.events, acknowledge};
}

LedgerSender::Hooks GatewayUsage::senderHooks()
{
    const auto give = [this](const PeerAddress &to, const LedgerMessage &message) {
        if (to.empty())
            return collector_.take(to, message);
        std::string frame = encodeLedgerMessage(message);
        // Not sent, it is written by its owner in the end.
        if (frame.size() <= FrameLimits::bytes)
            hooks_.send(to, std::move(frame));
    };
    const UsageDuty::Hooks &duty = hooks_.duty;
    return {duty.store, duty.clock, hooks_.random, duty.events, hooks_.collectors, give};
}

void GatewayUsage::count(const std::string &customer)
{
    sender_.count(duty_.windowAt(hooks_.duty.wallMillis()), customer);
}

void GatewayUsage::tick()
{
    sender_.tick(duty_.windowAt(hooks_.duty.wallMillis() - timing_.lastFlush.count()));
    collector_.tick();
    duty_.tick();
}

bool GatewayUsage::received(const PeerAddress &from, const std::string &frame)
{
    if (const auto message = decodeLedgerMessage(frame)) {
        collector_.take(from, *message);
        return true;
    }
    if (const auto receipt = decodeLedgerReceipt(frame)) {
        sender_.received(*receipt);
        return true;
    }
    return false;
}

} // namespace cuminrail

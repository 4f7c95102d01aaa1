#pragma once

#include "gateway/usage/LedgerCollector.h"
#include "gateway/usage/LedgerSender.h"
#include "gateway/usage/UsageDuty.h"

namespace cuminrail {

/** One instance's whole part in usage: counting, collecting for others, and reporting for all. */
class GatewayUsage
{
public:
    struct Hooks
    {
        UsageDuty::Hooks duty;
        RandomHook random;
        /** Links of instances that take ledgers; this one's is empty. */
        std::function<std::vector<PeerAddress>()> collectors;
        std::function<void(const PeerAddress &, std::string frame)> send;
    };

    /** @param owner  this instance in this life, "NAME.LIFE" */
    GatewayUsage(const std::string &owner, const UsageTiming &timing, Hooks hooks);

    void count(const std::string &customer);
    void setInstances(std::size_t count) { sender_.setInstances(count); }
    /** Whether ledgers are given to collectors, or written by their owners while that works. */
    void setShared(bool isShared) { sender_.setWritesFirst(!isShared); }
    /** Does what is due; to be called about ten times a second. */
    void tick();
    /** Begins to send what has not been sent; for the end of the process. */
    void flush() { sender_.flush(); }
    bool isFlushed() const { return sender_.isFlushed(); }
    /** A frame came from another instance. Returns false if it is about something else. */
    bool received(const PeerAddress &from, const std::string &frame);

private:
    LedgerSender::Hooks senderHooks();
    LedgerCollector::Hooks collectorHooks();

    UsageTiming timing_;
    Hooks hooks_;
    UsageDuty duty_;
    LedgerCollector collector_;
    LedgerSender sender_;
};

} // namespace cuminrail

#pragma once

#include "gateway/usage/LedgerCollector.h"
#include "gateway/usage/LedgerSender.h"
#include "gateway/usage/UsageDuty.h"

namespace cuminrail {

/** An instance's part in usage: counting its own, collecting for others, reporting for all. */
class GatewayUsage
{
public:
    struct Hooks
    {
        UsageDuty::Hooks duty;
        RandomHook random;
        /** Link addresses of the collectors; empty for this instance. */
        std::function<std::vector<PeerAddress>()> collectors;
        std::function<void(const PeerAddress &, std::string frame)> send;
    };

    /** @param owner  this instance in its current incarnation, "NAME.INCARNATION" */
    GatewayUsage(const std::string &owner, const UsageTiming &timing, Hooks hooks);

    void count(const std::string &customer);
    void setInstances(std::size_t count) { sender_.setInstances(count); }
    /** Sets whether ledgers go to collectors first, or are first written by their owners. */
    void setShared(bool isShared) { sender_.setDirectFirst(!isShared); }
    /** Sends, collects and reports when due; to be called about ten times a second. */
    void tick();
    /** The store came back from a copy: what was written shortly before may be lost. */
    void storeRestored();
    /** Starts sending counts that are not in the store yet; for the process's shutdown. */
    void flush() { sender_.flush(); }
    bool isFlushed() const { return sender_.isFlushed(); }
    /** Handles a frame from another instance; returns false if it is of another kind. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);

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

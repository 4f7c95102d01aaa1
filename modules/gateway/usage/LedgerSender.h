#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "dataplane/usage/UsageLedger.h"
#include "gateway/peers/LedgerMessage.h"
#include "gateway/usage/UsageTiming.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Counts this instance's usage and brings it to the store.

    Load: hundreds of instances that each have counts of a window to write, some of which the store
    turns away. Where there are many, each gives its ledger to a collector of its failure domain,
    which writes all of them as one object and acknowledges each; without that every window costs a
    call an instance, and an outage several. An instance that hears nothing tries the next
    collector, and at last writes for itself. Always the whole ledger is sent, so one that arrives
    twice, or on two ways, counts once.
*/
class LedgerSender
{
public:
    /** How long an acknowledgement is waited for: a collector's gathering and a slow write. */
    static constexpr Millis receiptTimeout = Millis(900);
    /** After all ways failed, spread by half over the instances. */
    static constexpr Millis pause = Millis(3000);

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** Instances that take ledgers, in the order in which they are to be tried; may be empty.
         */
        std::function<std::vector<PeerAddress>()> collectors;
        /** Sends a ledger to one of them. */
        std::function<void(const PeerAddress &, const LedgerMessage &)> give;
    };

    LedgerSender(std::string owner, const UsageTiming &timing, Hooks hooks);
    LedgerSender(const LedgerSender &) = delete;
    LedgerSender &operator=(const LedgerSender &) = delete;

    void count(std::int64_t window, const std::string &customer)
    {
        ledger_.count(window, customer);
    }
    void setInstances(std::size_t count);
    /** Where there are few instances each writes for itself, and asks others only if that fails. */
    void setWritesFirst(bool writesFirst) { writesFirst_ = writesFirst; }
    /**
        Sends what is due; to be called about ten times a second.

        @param closedWindow  the first window that is not over yet
    */
    void tick(std::int64_t closedWindow);
    /** Begins to send what has not been sent. */
    void flush();
    /** A collector acknowledges a state of the ledger. */
    void received(const LedgerReceipt &receipt);
    bool isFlushed() const { return writtenChanges_ == ledger_.changes() && !delivery_; }

private:
    /** One state of the ledger on its way to the store. */
    struct Delivery
    {
        std::uint64_t version = 0;
        std::uint64_t changes = 0;
        std::string ledger;
        std::vector<PeerAddress> collectors;
        /** Ways tried so far, the own write among them. */
        std::size_t tried = 0;
        /** When the next way is tried; not set while the own write is under way. */
        std::optional<Millis> until;
    };

    void tryNext();
    void giveUp();
    void writeSelf();
    void delivered();

    std::string owner_;
    UsageTiming timing_;
    Hooks hooks_;
    UsageLedger ledger_;
    bool writesFirst_ = true;
    std::optional<Delivery> delivery_;
    std::uint64_t versions_ = 0;
    std::uint64_t writtenChanges_ = 0;
    /** All ways failed the last time. */
    bool hasFailed_ = false;
    Millis flushEvery_;
    Millis nextFlush_;
    std::int64_t closedWindow_ = 0;
};

} // namespace cuminrail

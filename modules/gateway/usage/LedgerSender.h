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
    Counts this instance's usage and delivers it to the store.

    Load: hundreds of instances that each have a window's counts to write, some of which the store
    refuses. In a large failure domain each instance sends its ledger to a collector, which writes
    all of them as one object and acknowledges each. Without collectors every window would cost one
    store call per instance, and several during an outage. An instance that gets no receipt tries
    the next collector and finally writes its ledger directly. The whole ledger is sent each time,
    so one that arrives twice, or over two routes, counts once.
*/
class LedgerSender
{
public:
    /** Time-out of a receipt: a collector's batch delay and a slow write. */
    static constexpr Millis receiptTimeout = Millis(900);
    /** Delay after all routes failed; half of it is random to spread the instances. */
    static constexpr Millis retryDelay = Millis(3000);
    /** Instances spread over this time what they write again after the store came back. */
    static constexpr Millis restoreSpread = Millis(1500);

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** Returns the collectors in the order in which to try them; may be empty. */
        std::function<std::vector<PeerAddress>()> collectors;
        /** Sends a ledger to a collector. */
        std::function<void(const PeerAddress &, const LedgerMessage &)> sendLedger;
    };

    LedgerSender(std::string owner, const UsageTiming &timing, Hooks hooks);
    LedgerSender(const LedgerSender &) = delete;
    LedgerSender &operator=(const LedgerSender &) = delete;

    void count(std::int64_t window, const std::string &customer)
    {
        ledger_.count(window, customer);
    }
    void setInstances(std::size_t count);
    /** The store came back from a copy: the ledger is sent again, spread over the instances. */
    void storeRestored();
    /** With few instances, each writes its own ledger and uses collectors only if that fails. */
    void setDirectFirst(bool isDirectFirst) { isDirectFirst_ = isDirectFirst; }
    /**
        Sends the ledger when due; to be called about ten times a second.

        @param closedWindow  the first window that has not ended yet
    */
    void tick(std::int64_t closedWindow);
    /** Starts sending counts that are not in the store yet. */
    void flush();
    /** Handles a collector's receipt for a version of the ledger. */
    void handleReceipt(const LedgerReceipt &receipt);
    bool isFlushed() const { return writtenChanges_ == ledger_.changes() && !delivery_; }

private:
    /** A version of the ledger that is being delivered to the store. */
    struct Delivery
    {
        std::uint64_t version = 0;
        std::uint64_t changes = 0;
        std::string ledger;
        std::vector<PeerAddress> collectors;
        /** Number of routes tried so far, including the direct write. */
        std::size_t routesTried = 0;
        /** When the next route is tried; not set while the direct write is in progress. */
        std::optional<Millis> timeoutAt;
    };

    void tryNextRoute();
    void giveUp();
    void writeDirectly();
    void delivered();

    std::string owner_;
    UsageTiming timing_;
    Hooks hooks_;
    UsageLedger ledger_;
    bool isDirectFirst_ = true;
    std::optional<Delivery> delivery_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t writtenChanges_ = 0;
    /** All routes failed for the last delivery. */
    bool hasFailed_ = false;
    Millis flushInterval_;
    Millis nextFlushAt_;
    std::int64_t closedWindow_ = 0;
};

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "dataplane/usage/UsageLedger.h"
#include "gateway/GatewayProtocol.h"
#include "gateway/usage/UsageRecords.h"
#include "gateway/usage/UsageTiming.h"
#include "ports/store/ObjectStore.h"

#include <map>
#include <optional>
#include <string>

namespace cuminrail {

/**
    Reports the usage of all instances while this one holds the duty.

    The holder sums the ledgers of a window once and creates a sealed object from the result; only
    one creation can succeed. Reports are always read from the sealed object, so that two holders,
    or one that retries, can never report two different figures for a window.

    A store that came back from a copy may have lost seals that were reported from. A holder writes
    the seals that it knows again. A window that ended before and has none is sealed anew only by an
    instance that has held the duty since before the window's end; for any other one it may have
    been reported, so it is left out.

    @see LedgerSender, LedgerCollector
*/
class UsageDuty
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        /** Wall-clock time in milliseconds since 1970. */
        std::function<std::int64_t()> wallMillis;
        EventSink events;
        std::function<void(std::int64_t window, const CustomerCounts &, const DutyAuthority &,
                           DutyCompletion)>
            report;
        /** Returns the lease's authority if this instance may report now. */
        std::function<std::optional<DutyAuthority>()> authority;
    };

    UsageDuty(const UsageTiming &timing, Hooks hooks);

    /** The store came back from a copy: seals of windows that have ended may be lost. */
    void storeRestored();
    /** Seals and reports windows when due; to be called every few hundred milliseconds. */
    void tick();
    std::int64_t windowAt(std::int64_t wallMillis) const;

private:
    enum class WindowState : std::uint8_t { Open, Busy, Reported };

    /** Notes when this instance took the duty over, and whether seals may have been lost before. */
    void noteAuthority(const DutyAuthority &authority, std::int64_t wall);
    /** Writes the known seals to the store again. */
    void rewriteSeals();
    /** Whether another holder may have reported the window from a seal that the store lost. */
    bool isDoubtful(std::int64_t window) const
    {
        return window < doubtfulBefore_ && window < heldSinceWindow_;
    }
    void leaveOut(std::int64_t window);
    void reportIfDue(std::int64_t wall);
    void collect(std::int64_t window);
    /** Returns whether the ledger's owner may still complete the window. */
    bool isAwaited(const LedgerRecord &ledger, std::int64_t window) const;
    void onLedgersListed(std::int64_t window, const StoreReply &reply);
    void seal(std::int64_t window, const std::string &text);
    void readSeal(std::int64_t window);
    void reportSealed(std::int64_t window, const std::string &text);
    void reported(std::int64_t window, DutyResult result, const Reason &reason);
    void removeExpired(const std::vector<StoreObject> &objects, std::int64_t window);
    void postpone(std::int64_t window, const Reason &reason);

    UsageTiming timing_;
    Hooks hooks_;
    Millis nextReportAt_;
    std::int64_t firstWindow_ = 0;
    std::map<std::int64_t, WindowState> windows_;
    /** The seals that this instance wrote or read, by window. */
    std::map<std::int64_t, std::string> seals_;
    bool isRewriteDue_ = false;
    /** Windows below had ended when this instance learned that the store came back from a copy. */
    std::int64_t doubtfulBefore_ = 0;
    /** The window in which this instance took the duty over. */
    std::int64_t heldSinceWindow_ = 0;
    std::optional<Millis> heldSince_;
};

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "dataplane/usage/UsageLedger.h"
#include "gateway/GatewayWire.h"
#include "gateway/control/UsageRecords.h"
#include "ports/store/ObjectStore.h"

#include <map>

namespace cuminrail {

/** How usage travels from the instances that count it to the report. */
struct UsageTiming
{
    Millis window = Millis::seconds(5);
    /**
        How often an instance writes its counts: what a crash can lose. The more instances there
        are, the smaller is one's part of the report, and the longer it may wait: up to a window.
    */
    Millis flushLeast = Millis(1200);
    Millis flushEach = Millis(200);
    /** After a window's end: when instances write their counts of it for the last time. */
    Millis lastFlush = Millis(300);
    /** After a window's end: when its counts are taken together. */
    Millis sealAfter = Millis(2500);
    /**
        After a window's end: sealed even if an instance that wrote of late has not completed it.
        Leaves time for the report itself until it is due.
    */
    Millis sealAtLatest = Millis(7000);
    /** Windows this far back are still reported after a change of the holder. */
    std::int64_t lookBack = 4;
};

/**
    Counts this instance's usage, writes it to the store, and reports everybody's while it holds
    the duty.

    Each instance writes its whole ledger under its own name, so a write that is repeated or late
    does no harm. One that the store turns away, while it serves the others, passes its ledger on to
    another instance; without that the window of a day with a third of the instances turned away
    was short by a third. The holder adds the ledgers of a window up once and creates a sealed
   object from them; only one creation can succeed. Reports are always read from the sealed object,
   so that two holders, or one that repeats itself, can never give two figures for a window.
*/
class UsageDuty
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        /** True time in milliseconds since 1970. */
        std::function<std::int64_t()> wallMillis;
        EventSink events;
        std::function<void(std::int64_t window, const CustomerCounts &, const DutyAuthority &,
                           DutyCompletion)>
            report;
        /** The right to report at this moment. */
        std::function<std::optional<DutyAuthority>()> authority;
        /** Gives a ledger that could not be written to another instance; may be empty. */
        std::function<void(const std::string &owner, const std::string &ledger)> passOn;
    };

    UsageDuty(std::string instance, const std::string &life, const UsageTiming &timing,
              Hooks hooks);

    void count(const std::string &customer);
    /** How many instances count like this one. */
    void setInstances(std::size_t count);
    /** Another instance, which cannot reach the store, gave its ledger to this one to write. */
    void takeLedger(const std::string &owner, const std::string &ledger);
    /** Does what is due; to be called every few hundred milliseconds. */
    void tick();
    /** Writes what has not been written; for the end of the process. */
    void flush();
    bool isFlushed() const { return writtenChanges_ == ledger_.changes() && !isWriting_; }

private:
    enum class Stage : std::uint8_t { Open, Busy, Reported };

    std::int64_t windowAt(std::int64_t wallMillis) const;
    void flushIfDue(std::int64_t wall);
    void reportIfDue(std::int64_t wall);
    void collect(std::int64_t window);
    bool isIncomplete(const LedgerRecord &ledger, std::int64_t window) const;
    void collected(std::int64_t window, const StoreReply &reply);
    void seal(std::int64_t window, const CustomerCounts &counts);
    void readSeal(std::int64_t window);
    void reportSealed(std::int64_t window, const std::string &text);
    void reported(std::int64_t window, DutyResult result, const Reason &reason);
    void removeOld(const std::vector<StoreObject> &ledgers, std::int64_t window);
    void failed(std::int64_t window, const Reason &reason);

    std::string instance_;
    /** The instance in this life, under which its ledger is kept. */
    std::string owner_;
    UsageTiming timing_;
    Hooks hooks_;
    UsageLedger ledger_;
    std::uint64_t writtenChanges_ = 0;
    bool isWriting_ = false;
    /** The last write came to nothing, or may have. */
    bool hasFailed_ = false;
    Millis flushEvery_;
    Millis nextFlush_;
    Millis nextReport_;
    std::int64_t firstWindow_ = 0;
    std::int64_t closedWindow_ = 0;
    std::map<std::int64_t, Stage> windows_;
};

} // namespace cuminrail

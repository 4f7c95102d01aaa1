#pragma once

#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/manager/DutyLease.h"
#include "ports/store/ObjectStore.h"
#include "usage/record/CounterRecord.h"

#include <functional>
#include <string>

namespace cuminrail {

/**
    Counts the usage of one team at one instance and periodically writes the counters to the store.

    Counts that are not written yet are lost when the instance dies: at most the usage of one flush
    interval and one call to the store. Counters are cumulative, so a write that is repeated or
    arrives out of order does no harm.
*/
class UsageFlusher
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        /** Returns the current window. */
        std::function<WindowIndex()> currentWindow;
        /** Returns the write interval; called again after each write. */
        std::function<Millis()> flushInterval;
    };

    UsageFlusher(TeamId team, InstanceIncarnation self, Hooks hooks);
    UsageFlusher(const UsageFlusher &) = delete;
    UsageFlusher &operator=(const UsageFlusher &) = delete;

    /** Adds the usage of a request to the current window. */
    void add(const CustomerId &customer, const UsageCounters &counters);
    /** Performs due work. */
    void tick();
    /** Begins a planned stop: writes at once, and for the last time. */
    void stop();
    /** Returns whether all counts have reached the store. */
    bool isFlushed() const { return !busy_ && !dirty_; }
    /** Returns the usage counted in this incarnation. */
    const CustomerUsage &total() const { return record_.total; }

    static std::string prefix(const TeamId &team) { return "usage/" + team.text() + "/counters/"; }

private:
    std::string path() const;
    void enterWindow();
    void write();
    void written(const StoreReply &reply);
    void readBack();
    void readDone(const StoreReply &reply);
    void startNewPart();
    void scheduleNext(Millis span);

    TeamId team_;
    InstanceIncarnation self_;
    Hooks hooks_;
    CounterRecord record_;
    CustomerUsage sending_;
    /** The counts of this part that the store has, or may have. */
    CustomerUsage mayBeStored_;
    ObjectVersion version_ = 0;
    std::uint32_t part_ = 0;
    bool dirty_ = false;
    bool busy_ = false;
    bool readBackDue_ = false;
    bool stopping_ = false;
    bool changedSinceSend_ = false;
    Millis nextAt_;
};

} // namespace cuminrail

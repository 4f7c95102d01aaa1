#pragma once

#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/keeper/DutyLease.h"
#include "ports/store/ObjectStore.h"
#include "usage/record/CounterRecord.h"

#include <functional>
#include <string>

namespace cuminrail {

/**
    Counts one team's use at one instance and writes the counters to the store now and then.

    What an instance has counted and not yet written is lost when it dies: at most what was used
    in one flush period and one call to the store. Counters are cumulative, so a write that is
    repeated or overtaken does no harm.
*/
class UsageFlusher
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        /** The window that calendar time is in. */
        std::function<WindowIndex()> currentWindow;
        /** How often to write; asked again after each write. */
        std::function<Millis()> period;
    };

    UsageFlusher(TeamId team, InstanceLife self, Hooks hooks);
    UsageFlusher(const UsageFlusher &) = delete;
    UsageFlusher &operator=(const UsageFlusher &) = delete;

    /** Counts what a request used, in the window that calendar time is in. */
    void add(const CustomerId &customer, const UsageFigures &figures);
    /** Does what is due. */
    void tick();
    /** Begins a planned stop: writes at once, and for the last time. */
    void stop();
    /** Returns true when everything counted has reached the store. */
    bool isFlushed() const { return !busy_ && !dirty_; }
    /** Returns what has been counted in this life. */
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
    void later(Millis span);

    TeamId team_;
    InstanceLife self_;
    Hooks hooks_;
    CounterRecord record_;
    CustomerUsage sending_;
    /** What the store has of this part, or may have. */
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

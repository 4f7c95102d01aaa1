#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/manager/DutyLease.h"
#include "ports/store/ObjectStore.h"
#include "ports/usage/UsageReceiver.h"
#include "usage/seal/UsageMerge.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

struct UsageTiming
{
    Millis windowLength = Millis::minutes(5);
    /**
        Delay between the end of a window and its seal, so that instances can write their counters.
    */
    Millis grace = Millis::seconds(15);
    Millis retryInterval{1000};
    /** Nothing is written or reported if less than this remains of the lease. */
    Millis sendMargin{1000};
    /** Number of sealed and reported windows that remain in the store. */
    WindowIndex retainedWindows = 48;
};

/**
    Seals and reports the usage windows of one team, as the holder of the team's duty.

    Windows are sealed in order and without gaps. A seal is created on the condition that none
    exists, so that of two instances that both consider themselves the holder one determines the
    figures and both report them; a window that a delayed write has sealed is read, not sealed
    again.
*/
class UsageReporter
{
public:
    struct Hooks
    {
        ObjectStore store;
        UsageReceiver receiver;
        Clock clock;
        RandomHook random;
        EventSink events;
        std::function<std::optional<Authority>()> authority;
        /** Returns calendar time since 1970 in UTC. */
        std::function<Millis()> calendar;
        /**
            Returns whether an incarnation of an instance, "<instance>-<incarnation>", may still
            count.
        */
        std::function<bool(const std::string &)> isLive;
    };

    UsageReporter(TeamId team, const UsageTiming &timing, Hooks hooks);
    UsageReporter(const UsageReporter &) = delete;
    UsageReporter &operator=(const UsageReporter &) = delete;

    /** The lease of the duty was acquired. */
    void onLeaseAcquired();
    /** The lease of the duty was lost or is being released. */
    void onLeaseLost();
    /** Performs due work. */
    void tick();

    /** Returns the last window known to be sealed. */
    std::optional<WindowIndex> lastSealed() const;
    /** Returns the number of sealed windows that the platform has not confirmed. */
    std::size_t unreportedCount() const;

    static std::string sealPrefix(const TeamId &team)
    {
        return "usage/" + team.text() + "/sealed/";
    }
    static std::string startPath(const TeamId &team) { return "usage/" + team.text() + "/start"; }

private:
    struct Seal
    {
        ObjectVersion version = 0;
        SealedWindow window;
    };

    template<typename Reply>
    std::function<void(const Reply &)>
    guardCompletion(void (UsageReporter::*method)(const Reply &));

    std::optional<Authority> usableAuthority() const;
    std::string sealPath(WindowIndex window) const;
    WindowIndex nextWindow() const;
    bool isSealDue() const;
    void loadSeals();
    void sealsLoaded(const StoreReply &reply);
    void claimStart();
    void startClaimed(const StoreReply &reply);
    void startRead(const StoreReply &reply);
    void listCounters();
    void countersListed(const StoreReply &reply);
    void writeSeal();
    void sealWritten(const StoreReply &reply);
    void sealRead(const StoreReply &reply);
    void acceptSeal(ObjectVersion version, const SealedWindow &window);
    bool reportOldest();
    void reported(const OrderReply &reply);
    void markWritten(const StoreReply &reply);
    bool removeOld();
    void removed(const StoreReply &reply);
    std::string figuresToReport(const Seal &seal) const;
    UsageMergeInput mergeInput(WindowIndex window) const;
    void scheduleRetry();

    TeamId team_;
    UsageTiming timing_;
    UsageWindows windows_;
    Hooks hooks_;
    bool isActive_ = false;
    bool loaded_ = false;
    bool busy_ = false;
    std::uint64_t epoch_ = 0;
    Millis nextAt_;
    std::optional<WindowIndex> first_;
    std::map<WindowIndex, Seal> seals_;
    std::vector<CounterSource> sources_;
    /** Versions of the counters at the previous seal, to detect which have stopped changing. */
    std::map<std::string, ObjectVersion> versionsBefore_;
    SealedWindow draft_;
    WindowIndex reporting_ = 0;
    /** Counter objects that are folded into a seal and can be removed. */
    std::map<std::string, ObjectVersion> removable_;
};

} // namespace cuminrail

#pragma once

#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "gateway/control/InstanceRoster.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The list of instances, from entries that each instance writes to the store and refreshes.

    This is no failure detector: the count is used to divide what all instances share, and the names
    to rank them for duties.

    One instance, the maintainer, lists the entries and writes the roster, one object from which all
    others read the instances. An entry that has not been refreshed for long is omitted, and removed
    from the store. An instance that finds no roster, or is twice missing in it, lists the entries
    and writes the roster itself.
*/
class InstanceRegistry
{
public:
    /** Interval at which entries are refreshed and the roster is read; grows with the number. */
    static constexpr Millis minRefreshInterval = Millis::seconds(20);
    static constexpr Millis refreshIntervalPerInstance = Millis(300);
    /** Interval at which the maintainer lists the entries. */
    static constexpr Millis minMaintainInterval = Millis::seconds(10);
    static constexpr Millis maintainIntervalPerInstance = Millis(20);
    /** An entry is omitted after this many missed refreshes plus the slack. */
    static constexpr int maxMissedRefreshes = 3;
    static constexpr Millis staleSlack = Millis::seconds(5);
    /** Delay after a failed call, doubled with each failure up to the maximum. */
    static constexpr Millis minRetryDelay = Millis::seconds(2);
    static constexpr Millis maxRetryDelay = Millis::seconds(16);
    /** All instances write their entries again within this time after the store came back. */
    static constexpr Millis restoreSpread = Millis(1500);
    /** An instance that is missing in the roster reads it again after this time, with jitter. */
    static constexpr Millis missingRetryDelay = Millis(3000);

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        /** Called after the instances were read; optional. */
        std::function<void()> onListed = nullptr;
        /** Provides the secret of the links for the roster, now or later; optional. */
        std::function<void(std::function<void(const std::string &)>)> obtainSecret = nullptr;
        /** The roster has the secret; optional. */
        std::function<void(const std::string &)> onSecret = nullptr;
        /** The roster cannot be read, for this reason; optional. */
        std::function<void(const Reason &)> onMalformed = nullptr;
    };

    /** @param startsWithOthers  the whole system starts, so most entries are not written yet */
    InstanceRegistry(RegisteredInstance self, bool startsWithOthers, Hooks hooks);

    /** Refreshes and reads entries when due; to be called every few hundred milliseconds. */
    void tick();
    /** Whether this instance maintains the roster. */
    void setMaintainer(bool isMaintainer) { isMaintainer_ = isMaintainer; }
    /** The store came back from a copy: entries may be lost, and versions are given out again. */
    void storeRestored();
    /** Removes the own entry, for a graceful shutdown. */
    void leave();

    /** Returns all known instances, this one first. */
    const std::vector<RegisteredInstance> &instances() const { return instances_; }
    std::vector<InstanceId> names() const;
    /** Returns whether the instances were read after those that start together had registered. */
    bool isSettled() const { return isSettled_; }
    /** Incremented each time the instances are read from the store. */
    std::uint64_t revision() const { return revision_; }

private:
    /** The last change seen of another instance's entry. */
    struct Observation
    {
        ObjectVersion version = 0;
        Millis changedAt;
    };

    void refresh(Millis now);
    void readRoster(Millis now);
    void onRosterRead(const StoreReply &reply);
    void adopt(const InstanceRoster &roster);
    void listEntries();
    void onEntriesListed(const StoreReply &reply);
    void writeRoster();
    void putRoster(const std::string &secret);
    void setInstances(std::vector<RegisteredInstance> others);
    void handleFailure();
    Millis refreshInterval() const;
    Millis maintainInterval() const;
    Millis jitterUpTo(Millis span) const;
    /** Returns when to retry a failed call, and doubles the delay for the next failure. */
    Millis retryAt(Millis &delay) const;

    RegisteredInstance self_;
    std::string path_;
    Hooks hooks_;
    std::vector<RegisteredInstance> instances_;
    std::map<std::string, Observation> observations_;
    std::uint64_t refreshes_ = 0;
    std::uint64_t revision_ = 1;
    bool startsWithOthers_ = false;
    bool isSettled_ = false;
    bool isMaintainer_ = false;
    Millis nextMaintainAt_;
    bool isListing_ = false;
    /** The version and text of the roster that was read or written last; 0 if there is none. */
    ObjectVersion rosterVersion_ = 0;
    std::string rosterText_;
    /** Consecutive rosters that did not have this instance. */
    int missingRosters_ = 0;
    Millis refreshRetryDelay_ = minRetryDelay;
    Millis listRetryDelay_ = minRetryDelay;
    /** Time of the last call that need not be retried; unset before the first one. */
    std::optional<Millis> refreshedAt_;
    std::optional<Millis> listedAt_;
    /** Added to the interval, as all instances may have started in the same second. */
    Millis listJitter_;
    /** Earliest time of the next call after a failed one. */
    Millis nextRefreshAt_;
    Millis nextListAt_;
    bool isLeaving_ = false;
};

} // namespace cuminrail

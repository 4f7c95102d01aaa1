#pragma once

#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** An instance as registered in the store. */
struct RegisteredInstance
{
    InstanceId instance;
    /** HTTP address for requests of other instances; empty if it has none. */
    std::string address;
    /** Address on which it accepts links; empty if it accepts none. */
    PeerAddress links;
    std::string failureDomain;
    /** Processor share in thousandths of a core; 0 if its entry does not state it. */
    std::uint32_t milliCores = 0;
};

/**
    The list of instances, from entries that each instance writes to the store and refreshes.

    This is no failure detector: the count is used to divide what all instances share, and the names
    to rank them for duties. An entry that has not been refreshed for long is omitted from the list,
    and removed from the store by any instance that notices.
*/
class InstanceRegistry
{
public:
    /** Interval at which entries are refreshed and listed; grows with the number of instances. */
    static constexpr Millis minRefreshInterval = Millis::seconds(20);
    static constexpr Millis refreshIntervalPerInstance = Millis(300);
    /** An entry is omitted after this many missed refreshes plus the slack. */
    static constexpr int maxMissedRefreshes = 3;
    static constexpr Millis staleSlack = Millis::seconds(5);
    /** Delay after a failed call, doubled with each failure up to the maximum. */
    static constexpr Millis minRetryDelay = Millis::seconds(2);
    static constexpr Millis maxRetryDelay = Millis::seconds(16);
    /** All instances write their entries again within this time after the store came back. */
    static constexpr Millis restoreSpread = Millis(1500);

    /** @param startsWithOthers  the whole system starts, so most entries are not written yet */
    InstanceRegistry(RegisteredInstance self, bool startsWithOthers, ObjectStore store, Clock clock,
                     RandomHook random);

    /** Refreshes and lists entries when due; to be called every few hundred milliseconds. */
    void tick();
    /** The store came back from a copy: entries may be lost, and versions are given out again. */
    void storeRestored();
    /** Removes the own entry, for a graceful shutdown. */
    void leave();

    /** Returns all known instances, this one first. */
    const std::vector<RegisteredInstance> &instances() const { return instances_; }
    std::vector<InstanceId> names() const;
    /** Returns whether the instances were listed after those that start together had registered. */
    bool isSettled() const { return isSettled_; }
    /** Incremented each time the instances are read from the store. */
    std::uint64_t revision() const { return revision_; }
    /** Called after each such reading; optional. */
    std::function<void()> onListed;

private:
    /** The last change seen of another instance's entry. */
    struct Observation
    {
        ObjectVersion version = 0;
        Millis changedAt;
    };

    void refresh(Millis now);
    void list(Millis now);
    void listed(const StoreReply &reply);
    Millis refreshInterval() const;
    /** Returns when to retry a failed call, and doubles the delay for the next failure. */
    Millis retryAt(Millis &delay) const;

    RegisteredInstance self_;
    std::string path_;
    ObjectStore store_;
    Clock clock_;
    RandomHook random_;
    std::vector<RegisteredInstance> instances_;
    std::map<std::string, Observation> observations_;
    std::uint64_t refreshes_ = 0;
    std::uint64_t revision_ = 1;
    bool startsWithOthers_ = false;
    bool isSettled_ = false;
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

#pragma once

#include "core/time/Millis.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cuminrail {

/** The rank and role of an instance among those of its failure domain that share watches. */
struct WatchPosition
{
    /** False: every instance watches the store itself. */
    bool isShared = false;
    /** Rank in the order of succession, 0 being the first. */
    std::size_t rank = 0;
    std::size_t members = 1;
    /** The instances of the lowest ranks, so many of them, always watch. */
    std::size_t watchers = 1;

    bool isWatcher() const { return rank < watchers; }
};

/**
    Timing of shared watches, all in proportion to the longest time that a change may stay unknown.
*/
struct WatchTiming
{
    /** How long a replica counts as current after the store confirmed it. */
    Millis confirmationValidity;
    /** Wait of the primary watcher's long polls; leaves room for one lost heartbeat. */
    Millis primaryWait;
    /**
        Wait of the standby watcher's long polls, which only have to return changes while the
        primary works.
    */
    Millis standbyWait;
    Millis heartbeatInterval;

    /** @param maxDelay how late an instance may learn of a change */
    static WatchTiming forMaxDelay(Millis maxDelay);
};

/**
    Decides whether an instance watches the store itself or relies on other instances that do.

    Load: hundreds of instances whose store is down, overloaded, or refuses a third of them. If each
    instance called the store itself, the calls would multiply just when the store can least bear
    them. Here the watchers keep calling; the others try one after the other in the order of their
    ranks, so that an instance that the store still serves is found soon and then watches on behalf
    of all. They begin at once when all watchers report that the store refuses them. Total silence
    means that the watchers are gone rather than that the store is: then all others try within two
    thirds of a second.
*/
class WatchCoordinator
{
public:
    /**
        Delay between the attempts of consecutive ranks while others report that the store does not
        answer.
    */
    static constexpr Millis outageStagger = Millis(200);
    /**
        Delay between the attempts of consecutive ranks while no message arrives from any instance,
        up to the maximum below.
    */
    static constexpr Millis silenceStagger = Millis(150);
    static constexpr Millis maxSilenceStagger = Millis(600);
    /**
        Delay before the next attempt of an instance whose attempt failed and that receives no
        messages.
    */
    static constexpr Millis silenceRetryInterval = Millis(1500);

    WatchCoordinator(const WatchTiming &timing, Millis now) : timing_(timing), startedAt_(now) { }

    void setPosition(const WatchPosition &position, Millis now);
    const WatchPosition &position() const { return position_; }
    const WatchTiming &timing() const { return timing_; }

    /**
        Another instance was in sync with the store at an instant; it may be one that the store
        serves.
    */
    void recordConfirmation(Millis at, std::size_t byRank, Millis now);
    /** The store serves another instance that watches. */
    void recordServed(std::size_t rank, Millis now);
    /** The store refuses another instance that watches. */
    void recordRefusal(std::size_t rank, Millis now);
    /** A message arrived from another instance that watches, whether it is current or not. */
    void recordMessage(Millis now) { lastMessageReceivedAt_ = now; }
    /** The store answered this instance's own call. */
    void recordSuccess();
    void recordFailure(Millis now);

    /** Whether this instance may call the store now. */
    bool mayWatch(Millis now) const;
    /**
        Whether this instance watches on behalf of others, as a watcher or as a substitute for the
        watchers.
    */
    bool watchesForOthers() const
    {
        return position_.isShared && (position_.isWatcher() || isSubstitute_);
    }
    /** Whether another instance recently confirmed that this replica is current. */
    bool isConfirmed(Millis now) const;
    /** Whether a watcher of a lower rank works, so that this one need not announce. */
    bool isStandby(Millis now) const;

private:
    bool hasRecentMessages(Millis now) const;
    /** Returns the time since which the store refuses every watcher, if all of them report that. */
    std::optional<Millis> allRefusedSince(Millis now) const;

    WatchPosition position_;
    WatchTiming timing_;
    /** Start of shared watching; silence is counted from here at the earliest. */
    Millis startedAt_;
    std::optional<Millis> confirmedAt_;
    std::optional<Millis> lastMessageReceivedAt_;
    std::optional<Millis> lowerRankReceivedAt_;
    /** Last message from an instance that substitutes for the watchers. */
    std::optional<Millis> substituteReceivedAt_;
    struct Refusal
    {
        Millis since;
        Millis lastReceivedAt;
    };
    /** Refusals of watchers, by rank. */
    std::map<std::size_t, Refusal> refusals_;
    Millis nextAttemptAt_;
    bool isSubstitute_ = false;
};

} // namespace cuminrail

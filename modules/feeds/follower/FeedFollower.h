#pragma once

#include "core/errors/Reason.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "feeds/follower/WatchCoordinator.h"
#include "feeds/messages/FeedMessages.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    Maintains a replica of the objects below one prefix of the store: lists them once, then applies
    changes from watches, its own or those of other instances.

    Every call is billed, so a watch waits long while the store works, and changes that come close
    together are fetched in one call. A store that accepts requests and never answers them would
    leave a long watch without changes well after it works again; so any sign of a failure starts a
    period of short watches, and replaces the watch in progress.
*/
class FeedFollower
{
public:
    /** Wait of an unshared instance's watch while the store works. */
    static constexpr Millis steadyWait = Millis(8000);
    /**
        Wait of its watch after signs of a failure: less than the platform allows for a change to
        arrive.
    */
    static constexpr Millis suspectWait = Millis(1200);
    /** How long watches stay short after a sign of a failure. */
    static constexpr Millis suspectPeriod = Millis(6000);
    /** Back-off after a failed call, doubled up to the maximum; half of it is jitter. */
    static constexpr Millis minRetryDelay = Millis(100);
    static constexpr Millis maxRetryDelay = Millis(800);
    /** Interval between the calls of a watcher that the store refuses while it serves others. */
    static constexpr Millis confirmedRetryInterval = Millis(3000);
    /**
        Changes that follow one another within this time are fetched in one call where watches are
        shared.
    */
    static constexpr Millis sharedBatchInterval = Millis(300);
    /** A missing update is queried from the sender; after this time it is read from the store. */
    static constexpr Millis gapTimeout = Millis(500);
    /** How long an instance that does not know its rank yet waits before it watches on its own. */
    static constexpr Millis maxPositionWait = Millis(2500);
    /**
        How long an instance that others watch for waits for their state, from when it knows them,
        before it lists the store itself; half of it is jitter.
    */
    static constexpr Millis maxPeerStateWait = Millis(8000);
    /**
        Smallest group in which instances start with the state of others. In a smaller one the store
        sends the state to each sooner than it passes from one to the next.
    */
    static constexpr std::size_t minPeerStateMembers = 48;

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        /** The whole state was listed. */
        std::function<void(const std::vector<StoreObject> &)> onListed;
        /** One object changed or was removed. */
        std::function<void(const StoreObject &)> onChanged;
        /** This instance's own watch returned changes that others need. */
        std::function<void(const FeedUpdate &)> onWatchUpdate;
        /** The replica is current at this moment. */
        std::function<void()> onUpToDate;
        /** The store answers again, this instance or another, after an outage. */
        std::function<void()> onStoreRecovered;
        std::function<void(const Reason &)> onFailed;
        /** An update was not applied because changes before it are missing here. May be null. */
        std::function<void(const FeedUpdate &, ObjectVersion seen)> onGap = nullptr;
    };

    FeedFollower(FeedKind kind, std::string prefix, const WatchTiming &timing, Hooks hooks);
    FeedFollower(const FeedFollower &) = delete;
    FeedFollower &operator=(const FeedFollower &) = delete;

    /**
        Begins to follow the store.

        @param hasPeers  others may have the state: it is listed only if this instance watches, or
            if none of them sends it in time
    */
    void start(bool hasPeers = false);
    /** Ignores all replies from now on. */
    void stop();
    /** Performs due work; to be called about ten times a second. */
    void tick();

    /**
        Sets the rank. Before the first call no watch starts for a while, as most instances need
        none.
    */
    void setPosition(const WatchPosition &position);
    /** Sets for how long an unshared instance gathers changes before its next call. */
    void setBatchInterval(Millis gathering) { batchInterval_ = gathering; }
    /** A call of this instance to the store failed or timed out. */
    void noteStoreFailure();
    /** Applies an update from another instance's watch. */
    void handleUpdate(const FeedUpdate &update);
    /** Whether this instance has no state yet and waits for that of another instance. */
    bool wantsWholeState() const;
    /** Handles the status that another instance that watches announced. */
    void handleStatus(const FeedStatus &feedStatus, std::size_t byRank);

    /**
        Returns the changes after a revision, or the whole state where the history does not reach
        back that far.
    */
    std::optional<FeedUpdate> changesSince(ObjectVersion revision) const;
    /** Returns all objects; to be called once the state is known. */
    FeedUpdate wholeState() const;

    FeedKind kind() const { return kind_; }
    ObjectVersion seen() const { return seen_; }
    /** The revision of the last change. */
    ObjectVersion changedAt() const { return changedAt_; }
    /** Others have changes that did not arrive here. */
    bool isBehind() const { return behindSince_.has_value(); }
    /** How long changes have been missing; 0 while none are. */
    Millis behindDuration() const
    {
        return behindSince_ ? hooks_.clock.now() - *behindSince_ : Millis(0);
    }
    const std::string &prefix() const { return prefix_; }
    bool isListed() const { return isListed_; }
    /**
        The store does not answer for this feed, and no other instance confirms that the replica is
        current.
    */
    bool isDown() const;
    const WatchCoordinator &coordinator() const { return coordinator_; }
    /** The status to announce to others. */
    FeedStatus feedStatus() const;

private:
    struct Known
    {
        StoreObject object;
        /** Everything up to this revision was known when the state of the object arrived. */
        ObjectVersion knownRevision = 0;
    };

    bool isStoreSuspect(Millis now) const { return now < suspectUntil_; }
    bool isFresh(Millis now) const;
    Millis watchWait(Millis now) const;
    /** Sets until when the state of another instance is awaited. */
    void awaitPeerState();
    bool mayList(Millis now) const;
    void listAll();
    void adoptState(const FeedUpdate &update);
    void watchIfDue();
    void watch(Millis wait);
    void abandonWatch();
    StoreCompletion guardCompletion(void (FeedFollower::*done)(const StoreReply &));
    void listDone(const StoreReply &reply);
    void watchDone(const StoreReply &reply);
    void handleFailure(const StoreReply &reply);
    void handleSuccess();
    void markUpToDate();
    bool recordIfNewer(const StoreObject &object, ObjectVersion knownRevision);
    void applyChanges(const std::vector<StoreObject> &objects, ObjectVersion knownRevision);
    /** Returns the differences of a whole state from the replica, removals included. */
    std::vector<StoreObject> differencesFrom(const std::vector<StoreObject> &objects) const;
    void publishChanges(std::vector<StoreObject> objects);
    /** Returns the revision of the newest of some changes that were read up to a revision. */
    static ObjectVersion lastChangeRevision(const std::vector<StoreObject> &objects,
                                            ObjectVersion upTo);

    FeedKind kind_;
    std::string prefix_;
    Hooks hooks_;
    WatchCoordinator coordinator_;
    bool hasPosition_ = false;
    Millis positionWaitUntil_;
    ObjectVersion seen_ = 0;
    ObjectVersion changedAt_ = 0;
    bool isListed_ = false;
    /** Until then the state may come from another instance. */
    std::optional<Millis> peerStateWaitUntil_;
    bool isDown_ = false;
    /** The last call of this instance failed, whatever others announce. */
    bool isRefused_ = false;
    std::optional<Millis> behindSince_;
    bool isStopped_ = false;
    bool isBusy_ = false;
    bool isStandbyWatch_ = false;
    /** Replies to calls of earlier generations are ignored. */
    std::uint64_t generation_ = 0;
    Millis retryDelay_ = minRetryDelay;
    Millis batchInterval_ = sharedBatchInterval;
    Millis nextAt_;
    Millis suspectUntil_;
    std::optional<Millis> answeredAt_;
    /** When this replica was last known to be current, by its own call or a confirmation. */
    std::optional<Millis> currentAt_;
    /** Start of the history: from this revision on removals are known too. */
    ObjectVersion historyStart_ = 0;
    /** Last known state by path, removed objects included. */
    std::unordered_map<std::string, Known> known_;
};

} // namespace cuminrail

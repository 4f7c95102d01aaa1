#pragma once

#include "core/errors/Reason.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "feeds/follower/WatchTurn.h"
#include "feeds/messages/FeedMessages.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    Follows the objects below one prefix of the store, by a list and then by watches, its own or
    those of others.

    Every call is paid for, so a watch waits long while all is well, and changes that come close
    together are taken at once. A store that takes requests and never answers them would leave a
    long watch blind well after it works again; so any sign of trouble begins a time of short
    watches, and replaces the one under way.
*/
class FeedFollower
{
public:
    /** How long the watch of an instance that follows alone waits while all is well. */
    static constexpr Millis calmWait = Millis(8000);
    /** And while the store is in doubt: less than the platform allows for a change to arrive. */
    static constexpr Millis doubtfulWait = Millis(1200);
    /** How long a sign of trouble counts. */
    static constexpr Millis doubt = Millis(6000);
    /** After a failed call, doubled up to the longest, and spread by half over the instances. */
    static constexpr Millis firstRetry = Millis(100);
    static constexpr Millis longestRetry = Millis(800);
    /** A watcher that the store turns away, while others are served, asks this often. */
    static constexpr Millis confirmedRetry = Millis(3000);
    /** Changes that follow one another within this much are read together where watches are shared.
     */
    static constexpr Millis sharedGathering = Millis(300);
    /** What did not arrive is asked of the sender; after this it is read from the store. */
    static constexpr Millis gapPatience = Millis(500);
    /** How long an instance that does not know its place yet waits before it watches alone. */
    static constexpr Millis undecidedMost = Millis(2500);

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        /** The whole state was read. */
        std::function<void(const std::vector<StoreObject> &)> onListed;
        /** One object changed or was removed. */
        std::function<void(const StoreObject &)> onChanged;
        /** The own watch brought changes that others need. */
        std::function<void(const FeedUpdate &)> onLearned;
        /** What is known here is current at this moment. */
        std::function<void()> onCurrent;
        /** The store answers again, here or elsewhere, after a time in which it did not. */
        std::function<void()> onReturned;
        std::function<void(const Reason &)> onFailed;
        /** An update was not taken, as changes before it are not known here. May be left out. */
        std::function<void(const FeedUpdate &, ObjectVersion seen)> onGap = nullptr;
    };

    FeedFollower(FeedKind kind, std::string prefix, const WatchTiming &timing, Hooks hooks);
    FeedFollower(const FeedFollower &) = delete;
    FeedFollower &operator=(const FeedFollower &) = delete;

    void start();
    /** Takes no answers any more. */
    void stop();
    /** Does what is due; to be called about ten times a second. */
    void tick();

    /** Until this is called nothing is watched for a while, as most instances need not. */
    void setPlace(const WatchPlace &place);
    /** How long an instance that follows alone reads changes together. */
    void setGathering(Millis gathering) { gathering_ = gathering; }
    /** A call of this instance to the store failed, or was not answered. */
    void storeInDoubt();
    /** Another instance's watch brought something. */
    void takeUpdate(const FeedUpdate &update);
    /** Another instance that watches told how far it is. */
    void takeStanding(const FeedStanding &standing, std::size_t byRank);

    /** Returns what happened here after a revision, or all there is where that is not known. */
    std::optional<FeedUpdate> changesSince(ObjectVersion revision) const;

    FeedKind kind() const { return kind_; }
    ObjectVersion seen() const { return seen_; }
    /** Others know of changes that did not arrive here. */
    bool isBehind() const { return behindSince_.has_value(); }
    /** For how long; 0 while nothing is missing. */
    Millis behindFor() const
    {
        return behindSince_ ? hooks_.clock.now() - *behindSince_ : Millis(0);
    }
    const std::string &prefix() const { return prefix_; }
    bool isListed() const { return isListed_; }
    /** The store does not answer for this feed, and nobody else knows better. */
    bool isDown() const;
    const WatchTurn &turn() const { return turn_; }
    /** What this instance can tell others. */
    FeedStanding standing() const;

private:
    struct Known
    {
        StoreObject object;
        /** Everything up to this revision was known when the object's state came in. */
        ObjectVersion learnedAt = 0;
    };

    bool isInDoubt(Millis now) const { return now < doubtUntil_; }
    bool isFresh(Millis now) const;
    Millis watchWait(Millis now) const;
    void readAll();
    void watchIfDue();
    void watch(Millis wait);
    void abandonWatch();
    StoreCompletion current(void (FeedFollower::*done)(const StoreReply &));
    void listDone(const StoreReply &reply);
    void watchDone(const StoreReply &reply);
    void failed(const StoreReply &reply);
    void answered();
    void becameCurrent();
    bool isNews(const StoreObject &object, ObjectVersion learnedAt);
    void takeChanges(const std::vector<StoreObject> &objects, ObjectVersion learnedAt);
    /** Returns in which a whole state differs from the one known here, removals included. */
    std::vector<StoreObject> changesBy(const std::vector<StoreObject> &objects) const;
    void passOn(std::vector<StoreObject> objects);
    /** Returns the revision of the newest of some changes that were read up to a revision. */
    static ObjectVersion lastChange(const std::vector<StoreObject> &objects, ObjectVersion upTo);

    FeedKind kind_;
    std::string prefix_;
    Hooks hooks_;
    WatchTurn turn_;
    bool hasPlace_ = false;
    Millis undecidedUntil_;
    ObjectVersion seen_ = 0;
    ObjectVersion changedAt_ = 0;
    bool isListed_ = false;
    bool isDown_ = false;
    /** The last own call failed, whatever others know. */
    bool isRefused_ = false;
    std::optional<Millis> behindSince_;
    bool isStopped_ = false;
    bool isBusy_ = false;
    bool isStandbyWatch_ = false;
    /** Answers to calls of earlier generations are left alone. */
    std::uint64_t generation_ = 0;
    Millis retry_ = firstRetry;
    Millis gathering_ = sharedGathering;
    Millis nextAt_;
    Millis doubtUntil_;
    std::optional<Millis> answeredAt_;
    /** When anybody last knew that this instance's knowledge is current. */
    std::optional<Millis> currentAt_;
    /** From this revision on removals are known too. */
    ObjectVersion knownFrom_ = 0;
    /** What was taken in, removed objects too. */
    std::unordered_map<std::string, Known> known_;
};

} // namespace cuminrail

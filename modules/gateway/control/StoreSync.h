#pragma once

#include "core/random/Random.h"
#include "gateway/peers/FeedUpdate.h"
#include "gateway/request/RelayContext.h"
#include "ports/store/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <unordered_map>

namespace cuminrail {

/** How an instance follows the store. */
enum class FeedRole : std::uint8_t {
    /** Watches for itself. */
    Alone,
    /** Watches, and passes on what it learns. */
    Watcher,
    /** Has watchers. */
    Follower,
};

/** What an instance has read of the store, for its readiness. */
struct SyncState
{
    bool hasUpstreams = false;
};

/**
    Follows the configuration and the upstreams' entries in the store, by one list and then watches.

    Every call is paid for, so a watch waits long while all is well, and changes that come close
    together are taken at once. A store that takes requests and never answers them would leave a
    long watch blind well after it works again; callers would be served under settings that are no
    longer in force. So any call of this instance that fails, or a watch that does, begins a time
    of short watches, and replaces those under way.

    Where there are many instances, a few watch for all: watchers pass on what their watches bring,
    and followers watch themselves only while no watcher confirms that they are current. Without
   that 75 instances made 6,759 of the 12,596 calls of a played day for their watches.
*/
class StoreSync
{
public:
    /** How long a watch waits while all is well. */
    static constexpr Millis calmWait = Millis(8000);
    /** And while the store is in doubt: less than the platform allows for a change to arrive. */
    static constexpr Millis doubtfulWait = Millis(1200);
    /** How long a sign of trouble counts. */
    static constexpr Millis doubt = Millis(6000);
    /**
        Changes that follow one another within this much are read together. Every change wakes
        every instance's watch; so with more instances more is read together, up to a third of the
        time that the platform allows for an upstream's leaving to be known.
    */
    static constexpr Millis gatheringLeast = Millis(300);
    static constexpr Millis gatheringEach = Millis(10);
    static constexpr Millis gatheringMost = Millis(900);
    /** After a failed call, doubled up to the longest, and spread by half over the instances. */
    /**
        How long a watcher's watch waits, and what it reads together: followers must know of a
        change, or that nobody tells them, well within the two seconds that the platform allows.
    */
    static constexpr Millis watcherWait = Millis(700);
    static constexpr Millis watcherGathering = Millis(300);
    /** A follower is current for so long after a watcher's word: a watch and what it gathers. */
    static constexpr Millis confirmationHolds = Millis(1300);
    /** How often a follower looks whether it still is. */
    static constexpr Millis followerLook = Millis(200);
    static constexpr Millis firstRetry = Millis(100);
    static constexpr Millis longestRetry = Millis(800);

    StoreSync(boost::asio::io_context &io, RelayContext &context, ObjectStore store,
              RandomHook random);
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    void start();
    /** Takes no answers any more. */
    void stop();
    const SyncState &state() const { return state_; }
    /** How many instances follow the store like this one. */
    void setInstances(std::size_t count);
    /** Whether this instance watches for itself, for others too, or has others watch for it. */
    void setRole(FeedRole role) { role_ = role; }
    /** A watcher's word came. */
    void takeUpdate(const FeedUpdate &update);
    /** A call to the store failed, or was not answered. */
    void storeInDoubt();
    /** Takes in a configuration that another instance had, if it is newer. */
    void takeConfigurationText(const std::string &text, const std::string &source);
    /** The text of the configuration in force. */
    const std::string &configurationText() const { return configurationText_; }
    /** The store does not answer for the configuration at the moment. */
    bool isConfigurationSilent() const { return configuration_.isDown; }
    /** Called when a newer configuration is in force here. */
    std::function<void()> onConfiguration;
    /** Called at a watcher with what a watch brought. */
    std::function<void(const FeedUpdate &)> onWatched;

private:
    /** One of the two things that are followed. */
    struct Feed
    {
        std::string prefix;
        ObjectVersion seen = 0;
        bool isListed = false;
        bool isDown = false;
        Millis retry = firstRetry;
        /** Answers to calls of earlier generations are left alone. */
        std::uint64_t generation = 0;
        boost::asio::steady_timer timer;
        /** The last word of a watcher that this instance is current. */
        std::optional<Millis> confirmedAt;
        /** How new the state of each object is that was taken in, removed ones too. */
        std::unordered_map<std::string, std::uint64_t> ages;
    };

    Millis watchWait() const;
    bool isFollowing(const Feed &feed) const;
    /** Returns false for a change that an earlier one has overtaken. */
    static bool isNews(Feed &feed, const StoreObject &object);
    void takeChanges(Feed &feed, const std::vector<StoreObject> &objects);
    void readAll(Feed &feed);
    void watch(Feed &feed);
    void watchAfter(Feed &feed, Millis wait);
    bool isInDoubt() const { return context_.now() < doubtUntil_; }
    void listDone(Feed &feed, const StoreReply &reply);
    void watchDone(Feed &feed, const StoreReply &reply);
    StoreCompletion current(Feed &feed, void (StoreSync::*done)(Feed &, const StoreReply &));
    void failed(Feed &feed, const StoreReply &reply);
    void answered(Feed &feed);
    void takeConfiguration(const StoreObject &object);
    void takeUpstreams(const std::vector<StoreObject> &objects);
    void takeUpstream(const StoreObject &object);
    std::string upstreamId(const StoreObject &object) const;

    RelayContext &context_;
    ObjectStore store_;
    RandomHook random_;
    SyncState state_;
    Feed configuration_;
    Feed upstreams_;
    FeedRole role_ = FeedRole::Alone;
    Millis doubtUntil_;
    Millis gathering_ = gatheringLeast;
    std::string configurationText_;
};

} // namespace cuminrail

#pragma once

#include "core/random/Random.h"
#include "gateway/request/RelayContext.h"
#include "ports/store/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>

namespace cuminrail {

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
    };

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
    Millis doubtUntil_;
    Millis gathering_ = gatheringLeast;
    std::string configurationText_;
};

} // namespace cuminrail

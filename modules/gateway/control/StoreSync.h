#pragma once

#include "core/random/Random.h"
#include "gateway/request/RelayContext.h"
#include "ports/store/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>

namespace cuminrail {

/** What an instance knows of the store, for its readiness and its state dump. */
struct SyncState
{
    bool hasConfiguration = false;
    bool hasUpstreams = false;
    /** When the store last confirmed that this instance is current. */
    Millis configurationConfirmed;
    Millis upstreamsConfirmed;
};

/**
    Follows the configuration and the upstreams' entries in the store, by one list and then watches.

    Watches are short: a connection that went silent for good is noticed by the missing answer, and
    what changed meanwhile is known again within the few seconds that the platform allows.
*/
class StoreSync
{
public:
    /** A waiting watch comes back at least this often. */
    static constexpr Millis watchWait = Millis(1500);
    /** After a failed call, doubled up to the longest, and spread by half over the instances. */
    static constexpr Millis firstRetry = Millis(100);
    static constexpr Millis longestRetry = Millis(800);

    StoreSync(boost::asio::io_context &io, RelayContext &context, ObjectStore store,
              RandomHook random);
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    void start();
    const SyncState &state() const { return state_; }
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
        boost::asio::steady_timer timer;
    };

    void readAll(Feed &feed);
    void watch(Feed &feed);
    void listDone(Feed &feed, const StoreReply &reply);
    void watchDone(Feed &feed, const StoreReply &reply);
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
};

} // namespace cuminrail

#pragma once

#include "core/random/Random.h"
#include "feeds/feeds.h"
#include "gateway/control/ListingLog.h"
#include "gateway/request/RelayContext.h"
#include "ports/store/ObjectStore.h"

#include <set>
#include <string>

namespace cuminrail {

/** Keeps this instance's configuration and list of upstreams in step with the store. */
class StoreSync
{
public:
    /**
        Changes that follow one another within this delay are read together. Every change wakes the
        watch of every instance, so the delay grows with the number of instances, up to a third of
        the time that the platform allows until an upstream's leaving must be known.
    */
    static constexpr Millis minBatchInterval = Millis(300);
    static constexpr Millis batchIntervalPerInstance = Millis(10);
    static constexpr Millis maxBatchInterval = Millis(900);

    StoreSync(RelayContext &context, const ObjectStore &store, const RandomHook &random);
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    /** @param hasPeers  other instances may have the state already */
    void start(bool hasPeers);
    /** Stops following; replies of the store that arrive later are ignored. */
    void stop();
    /** Renews the watches when due; to be called about ten times a second. */
    void tick();
    /** Returns whether the upstreams were read at least once. */
    bool hasUpstreams() const { return hasUpstreams_; }
    /** Returns how many entries of the list name no upstream to use. */
    std::size_t refusedUpstreams() const { return refusedUpstreams_.size(); }
    /** Sets the number of instances that follow the store. */
    void setInstances(std::size_t count);
    /** To be called when another call to the store failed or timed out. */
    void noteStoreFailure();
    FeedFollower &configuration() { return configuration_; }
    FeedFollower &upstreams() { return upstreams_; }
    /** Applies a configuration from another instance, if it is newer. */
    void applyConfigurationText(const std::string &text, const std::string &source);
    /** The text of the configuration in force. */
    const std::string &configurationText() const { return configurationText_; }
    /** Called after a newer configuration has come into force here. */
    std::function<void()> onConfiguration;
    /** Called with each update, on an instance that watches the store for others. */
    std::function<void(const FeedUpdate &)> onWatchUpdate;

private:
    FeedFollower::Hooks commonHooks(const ObjectStore &store, const RandomHook &random,
                                    const char *feed);
    FeedFollower::Hooks configurationHooks(const ObjectStore &store, const RandomHook &random);
    FeedFollower::Hooks upstreamHooks(const ObjectStore &store, const RandomHook &random);
    void applyConfigurationObject(const StoreObject &object);
    void replaceUpstreams(const std::vector<StoreObject> &objects);
    void applyUpstream(const StoreObject &object);
    std::string upstreamId(const StoreObject &object) const;
    /** Logs that an entry names no upstream to use, once until it does or is removed. */
    void refuseUpstream(const std::string &id, const Reason &reason);

    RelayContext &context_;
    ListingLog listingLog_;
    FeedFollower configuration_;
    FeedFollower upstreams_;
    bool hasUpstreams_ = false;
    std::set<std::string> refusedUpstreams_;
    std::string configurationText_;
};

} // namespace cuminrail

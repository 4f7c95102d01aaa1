#pragma once

#include "core/random/Random.h"
#include "feeds/feeds.h"
#include "gateway/request/RelayContext.h"
#include "ports/store/ObjectStore.h"

namespace cuminrail {

/** Keeps the configuration in force and the upstreams known as the store has them. */
class StoreSync
{
public:
    /**
        Changes that follow one another within this much are read together. Every change wakes
        every instance's watch; so with more instances more is read together, up to a third of the
        time that the platform allows for an upstream's leaving to be known.
    */
    static constexpr Millis gatheringLeast = Millis(300);
    static constexpr Millis gatheringEach = Millis(10);
    static constexpr Millis gatheringMost = Millis(900);

    StoreSync(RelayContext &context, const ObjectStore &store, const RandomHook &random);
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    void start();
    /** Takes no answers any more. */
    void stop();
    /** Does what is due; to be called about ten times a second. */
    void tick();
    /** The upstreams were read at least once. */
    bool hasUpstreams() const { return hasUpstreams_; }
    /** How many instances follow the store like this one. */
    void setInstances(std::size_t count);
    /** A call to the store failed, or was not answered. */
    void storeInDoubt();
    FeedFollower &configuration() { return configuration_; }
    FeedFollower &upstreams() { return upstreams_; }
    /** Takes in a configuration that another instance had, if it is newer. */
    void takeConfigurationText(const std::string &text, const std::string &source);
    /** The text of the configuration in force. */
    const std::string &configurationText() const { return configurationText_; }
    /** Called when a newer configuration is in force here. */
    std::function<void()> onConfiguration;
    /** Called at an instance that watches for others. */
    std::function<void(const FeedUpdate &)> onLearned;

private:
    FeedFollower::Hooks commonHooks(const ObjectStore &store, const RandomHook &random,
                                    const char *feed);
    FeedFollower::Hooks configurationHooks(const ObjectStore &store, const RandomHook &random);
    FeedFollower::Hooks upstreamHooks(const ObjectStore &store, const RandomHook &random);
    void takeConfiguration(const StoreObject &object);
    void takeUpstreams(const std::vector<StoreObject> &objects);
    void takeUpstream(const StoreObject &object);
    std::string upstreamId(const StoreObject &object) const;

    RelayContext &context_;
    FeedFollower configuration_;
    FeedFollower upstreams_;
    bool hasUpstreams_ = false;
    std::string configurationText_;
};

} // namespace cuminrail

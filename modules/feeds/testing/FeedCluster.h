#pragma once

#include "feeds/feeds.h"
#include "ports/testing/testing.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail::testing {

inline constexpr Millis maxDelay = Millis(4000);
inline constexpr Millis tickInterval = Millis(100);
inline constexpr std::size_t watchers = 2;

/** One instance, its followers and the objects that it knows. */
struct FollowingInstance
{
    FakeProcessPtr process;
    std::map<std::string, std::string> known;
    std::unique_ptr<FeedFollower> configuration;
    std::unique_ptr<FeedFollower> upstreams;
    std::unique_ptr<FeedGroup> group;
    int recoveries = 0;
};

/** Failure domains of instances that follow one store, in virtual time. */
class FeedCluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<FollowingInstance> instances;
    /** Messages between two instances are lost while this returns true. */
    std::function<bool(std::size_t from, std::size_t to)> isLost;
    /** Capacity of an instance's own link; 0 for no limit. */
    std::size_t linkCapacityBytesPerMs = 0;
    /** Instances that the store refuses without delay. */
    std::set<std::size_t> refusedInstances;
    /** Messages that never arrive. */
    std::function<bool(const std::string &frame)> isDropped;

    /** Bytes that an instance's own link takes in a millisecond: 20 Mbit/s. */
    static constexpr std::size_t smallLinkBytesPerMs = 2500;

    /** @param hasPeers  instances start with the state of others where they have it */
    FeedCluster(std::size_t domains, std::size_t instancesPerDomain, bool isShared,
                std::uint64_t seed, int upstreams = 80, bool hasPeers = false)
        : scheduler(seed), instancesPerDomain_(instancesPerDomain), isShared_(isShared),
          hasPeers_(hasPeers)
    {
        store.write("configuration/current", "1");
        for (int i = 0; i < upstreams; ++i)
            store.write("upstreams/u-" + std::to_string(i), "ready");
        instances.resize(domains * instancesPerDomain);
        for (std::size_t i = 0; i < instances.size(); ++i)
            start(i);
        scheduler.every(tickInterval, [this] { tick(); });
    }

    void start(std::size_t index)
    {
        FollowingInstance &instance = instances[index];
        // Replies to calls of the previous incarnation may still be on their way.
        if (instance.process)
            instance.process->kill();
        previous_.push_back(std::move(instance));
        instance = FollowingInstance();
        instance.process = std::make_shared<FakeProcess>("i-" + std::to_string(index));
        instance.configuration = follower(index, FeedKind::Configuration, "configuration/");
        instance.upstreams = follower(index, FeedKind::Upstreams, "upstreams/");
        PeerTransport transport;
        transport.send = [this, index](const PeerAddress &to, const std::string &frame) {
            send(index, std::stoul(to), frame);
        };
        instance.group = std::make_unique<FeedGroup>(scheduler.clock(), transport,
                                                     *instance.configuration, *instance.upstreams);
        // The end of a process resets its links; a network cut does not.
        instance.group->isLinked = [this](const PeerAddress &to) {
            return isRunning(std::stoul(to));
        };
        if (isShared_)
            instance.group->setMembers(domainOf(index), watchers);
        else
            instance.group->setStandalone();
        instance.configuration->start(hasPeers_);
        instance.upstreams->start(hasPeers_);
    }

    void kill(std::size_t index) { instances[index].process->kill(); }

    /** Limits the list of members of the first instances of a domain to one another. */
    void setKnownMembers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<PeerAddress> members = domainOf(i);
            members.resize(count);
            instances[i].group->setMembers(std::move(members), watchers);
        }
    }

    /** Cuts an instance off from the store, not from the others. */
    void setCut(std::size_t index, bool isCut)
    {
        network.setCut("i-" + std::to_string(index), FakeObjectStore::endpoint, isCut);
    }

    std::uint64_t calls() const { return store.counts().lists + store.counts().watches; }

    /** Calls that were sent, whether they arrived or not. */
    std::uint64_t sentCalls() const
    {
        const auto &messages = network.messages();
        return static_cast<std::uint64_t>(
            std::count_if(messages.begin(), messages.end(), [](const FakeMessage &message) {
                return message.leg == MessageLeg::Request;
            }));
    }

    bool isRunning(std::size_t index) const
    {
        return instances[index].process->isRunning(scheduler.now());
    }

    /** How many running instances do not know an upstream's present state. */
    std::size_t countUnaware(const std::string &path) const
    {
        const std::string present = store.value(path);
        std::size_t count = 0;
        for (std::size_t i = 0; i < instances.size(); ++i) {
            const auto known = instances[i].known.find(path);
            const std::string seen = known == instances[i].known.end() ? "" : known->second;
            count += isRunning(i) && seen != present ? 1 : 0;
        }
        return count;
    }

private:
    std::vector<PeerAddress> domainOf(std::size_t index) const
    {
        const std::size_t first = index / instancesPerDomain_ * instancesPerDomain_;
        std::vector<PeerAddress> members;
        for (std::size_t i = first; i < first + instancesPerDomain_; ++i)
            members.push_back(i == index ? PeerAddress() : std::to_string(i));
        return members;
    }

    std::unique_ptr<FeedFollower> follower(std::size_t index, FeedKind kind, const char *prefix)
    {
        FollowingInstance &instance = instances[index];
        FeedFollower::Hooks hooks{
            storeFor(index), scheduler.clock(), scheduler.random(), {}, {}, {}, {}, {}, {}};
        const auto apply = [&instance](const StoreObject &object) {
            if (object.removed)
                instance.known.erase(object.path);
            else
                instance.known[object.path] = object.value;
        };
        hooks.onListed = [apply, &instance,
                          start = std::string(prefix)](const std::vector<StoreObject> &objects) {
            // A list is the whole state: what it does not show is gone.
            for (auto it = instance.known.begin(); it != instance.known.end();)
                it = it->first.rfind(start, 0) == 0 ? instance.known.erase(it) : std::next(it);
            for (const StoreObject &object : objects)
                apply(object);
        };
        hooks.onChanged = apply;
        hooks.onWatchUpdate = [&instance](const FeedUpdate &update) {
            instance.group->distribute(update);
        };
        hooks.onUpToDate = [] {};
        hooks.onStoreRecovered = [&instance] { ++instance.recoveries; };
        hooks.onFailed = [](const Reason &) {};
        return std::make_unique<FeedFollower>(kind, prefix, WatchTiming::forMaxDelay(maxDelay),
                                              std::move(hooks));
    }

    ObjectStore storeFor(std::size_t index)
    {
        ObjectStore port = store.port(instances[index].process);
        const auto refuse = [this](const StoreCompletion &done) {
            StoreReply reply;
            reply.status = StoreStatus::Unavailable;
            scheduler.after(Millis(4), [done, reply] { done(reply); });
        };
        port.list = [this, index, refuse, list = port.list](const std::string &prefix,
                                                            const StoreCompletion &done) {
            refusedInstances.count(index) > 0 ? refuse(done) : list(prefix, done);
        };
        port.watch = [this, index, refuse, watch = port.watch](const std::string &prefix,
                                                               ObjectVersion after, Millis wait,
                                                               const StoreCompletion &done) {
            refusedInstances.count(index) > 0 ? refuse(done) : watch(prefix, after, wait, done);
        };
        return port;
    }

    void send(std::size_t from, std::size_t to, const std::string &frame)
    {
        if ((isLost && isLost(from, to)) || (isDropped && isDropped(frame)))
            return;
        const FakeProcessPtr receiver = instances[to].process;
        scheduler.after(transitTime(from, frame.size()), [this, from, to, frame, receiver] {
            if (receiver == instances[to].process && isRunning(to))
                instances[to].group->handleFrame(std::to_string(from), frame);
        });
    }

    /** Frames of one instance leave its link one after another. */
    Millis transitTime(std::size_t from, std::size_t bytes)
    {
        constexpr Millis distance = Millis(2);
        if (linkCapacityBytesPerMs == 0)
            return distance;
        Millis &busyUntil = linkBusyUntil_[from];
        const auto duration = Millis(static_cast<std::int64_t>(1 + bytes / linkCapacityBytesPerMs));
        busyUntil = std::max(busyUntil, scheduler.now()) + duration;
        return busyUntil - scheduler.now() + distance;
    }

    void tick()
    {
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (!isRunning(i))
                continue;
            instances[i].configuration->tick();
            instances[i].upstreams->tick();
            instances[i].group->tick();
        }
    }

    std::size_t instancesPerDomain_;
    bool isShared_;
    bool hasPeers_;
    std::deque<FollowingInstance> previous_;
    std::map<std::size_t, Millis> linkBusyUntil_;
};

} // namespace cuminrail::testing

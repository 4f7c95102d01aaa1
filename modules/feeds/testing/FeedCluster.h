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

inline constexpr Millis allowance = Millis(4000);
inline constexpr Millis tickEvery = Millis(100);
inline constexpr std::size_t watchers = 2;

/** One instance: what it follows, and what it knows by that. */
struct FollowingInstance
{
    FakeProcessPtr process;
    std::map<std::string, std::string> known;
    std::unique_ptr<FeedFollower> configuration;
    std::unique_ptr<FeedFollower> upstreams;
    std::unique_ptr<FeedGroup> group;
    int returns = 0;
};

/** Failure domains of instances that follow one store, in virtual time. */
class FeedCluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<FollowingInstance> instances;
    /** Messages between two instances are lost while this says so. */
    std::function<bool(std::size_t from, std::size_t to)> isLost;
    /** What an instance's own link carries; 0 for as much as there is. */
    std::size_t linkBytesPerMilli = 0;
    /** Instances that the store refuses at once. */
    std::set<std::size_t> refused;
    /** Messages that never arrive. */
    std::function<bool(const std::string &frame)> isTooLong;

    FeedCluster(std::size_t domains, std::size_t each, bool isShared, std::uint64_t seed)
        : scheduler(seed), each_(each), isShared_(isShared)
    {
        store.write("configuration/current", "1");
        for (int i = 0; i < 80; ++i)
            store.write("upstreams/u-" + std::to_string(i), "ready");
        instances.resize(domains * each);
        for (std::size_t i = 0; i < instances.size(); ++i)
            start(i);
        scheduler.every(tickEvery, [this] { tick(); });
    }

    void start(std::size_t index)
    {
        FollowingInstance &instance = instances[index];
        // Answers to the former life's calls may still be on their way.
        if (instance.process)
            instance.process->kill();
        former_.push_back(std::move(instance));
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
        // The end of a process resets its links; a cut leaves them as they are.
        instance.group->isLinked = [this](const PeerAddress &to) {
            return isRunning(std::stoul(to));
        };
        if (isShared_)
            instance.group->setMembers(domainOf(index), watchers);
        else
            instance.group->setAlone();
        instance.configuration->start();
        instance.upstreams->start();
    }

    void kill(std::size_t index) { instances[index].process->kill(); }

    /** Lets the first instances of a domain know only one another. */
    void limitMembers(std::size_t count)
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
    std::uint64_t sent() const
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
    std::size_t unaware(const std::string &path) const
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
        const std::size_t first = index / each_ * each_;
        std::vector<PeerAddress> members;
        for (std::size_t i = first; i < first + each_; ++i)
            members.push_back(i == index ? PeerAddress() : std::to_string(i));
        return members;
    }

    std::unique_ptr<FeedFollower> follower(std::size_t index, FeedKind kind, const char *prefix)
    {
        FollowingInstance &instance = instances[index];
        FeedFollower::Hooks hooks{
            storeOf(index), scheduler.clock(), scheduler.random(), {}, {}, {}, {}, {}, {}};
        const auto take = [&instance](const StoreObject &object) {
            if (object.removed)
                instance.known.erase(object.path);
            else
                instance.known[object.path] = object.value;
        };
        hooks.onListed = [take](const std::vector<StoreObject> &objects) {
            for (const StoreObject &object : objects)
                take(object);
        };
        hooks.onChanged = take;
        hooks.onLearned = [&instance](const FeedUpdate &update) { instance.group->passOn(update); };
        hooks.onCurrent = [] {};
        hooks.onReturned = [&instance] { ++instance.returns; };
        hooks.onFailed = [](const Reason &) {};
        return std::make_unique<FeedFollower>(kind, prefix, WatchTiming::forAllowance(allowance),
                                              std::move(hooks));
    }

    ObjectStore storeOf(std::size_t index)
    {
        ObjectStore port = store.port(instances[index].process);
        const auto refuse = [this](const StoreCompletion &done) {
            StoreReply reply;
            reply.status = StoreStatus::Unavailable;
            scheduler.after(Millis(4), [done, reply] { done(reply); });
        };
        port.list = [this, index, refuse, list = port.list](const std::string &prefix,
                                                            const StoreCompletion &done) {
            refused.count(index) > 0 ? refuse(done) : list(prefix, done);
        };
        port.watch = [this, index, refuse, watch = port.watch](const std::string &prefix,
                                                               ObjectVersion after, Millis wait,
                                                               const StoreCompletion &done) {
            refused.count(index) > 0 ? refuse(done) : watch(prefix, after, wait, done);
        };
        return port;
    }

    void send(std::size_t from, std::size_t to, const std::string &frame)
    {
        if ((isLost && isLost(from, to)) || (isTooLong && isTooLong(frame)))
            return;
        const FakeProcessPtr receiver = instances[to].process;
        scheduler.after(travel(from, frame.size()), [this, from, to, frame, receiver] {
            if (receiver == instances[to].process && isRunning(to))
                instances[to].group->received(std::to_string(from), frame);
        });
    }

    /** Frames of one instance leave its link one after another. */
    Millis travel(std::size_t from, std::size_t bytes)
    {
        constexpr Millis distance = Millis(2);
        if (linkBytesPerMilli == 0)
            return distance;
        Millis &busyUntil = linkBusyUntil_[from];
        const auto takes = Millis(static_cast<std::int64_t>(1 + bytes / linkBytesPerMilli));
        busyUntil = std::max(busyUntil, scheduler.now()) + takes;
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

    std::size_t each_;
    bool isShared_;
    std::deque<FollowingInstance> former_;
    std::map<std::size_t, Millis> linkBusyUntil_;
};

} // namespace cuminrail::testing

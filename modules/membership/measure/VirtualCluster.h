#pragma once

#include "membership/Membership.h"
#include "membership/messages/FrameChannel.h"
#include "ports/testing/FakeProcess.h"
#include "ports/testing/FakeScheduler.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/** How many instances, and how they are spread. */
struct ClusterShape
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t regions = 1;
    /** Share of frames that are lost. */
    double loss = 0;
    std::uint64_t seed = 1;
};

/** One instance of a virtual cluster. */
struct VirtualInstance
{
    FakeProcessPtr process;
    std::unique_ptr<Membership> membership;
    /** False while the instance reaches no other. */
    bool connected = true;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    /** What the rest of the instance does, set by a test. */
    std::function<SettingsDigest(Millis)> settingsDigest;
    std::function<void(const UrgentFact &)> onFact;
    std::function<void(const PeerDigest &)> onPeerDigest;
    std::function<void()> onMembersChanged;
    std::function<void(FrameChannel, const std::string &frame)> onOtherFrame;
    std::function<void(Millis)> onTick;
    EventSink events;
};

/**
    Many memberships in virtual time on a virtual network, for tests and measurements.

    Frames are really encoded and decoded. They take 1 ms within a region and 15 ms between two;
    they are lost at random, when a region is cut off, or when an end is not running. Nothing
    else of the world is modelled.
*/
class VirtualCluster
{
public:
    /** Bytes that websocket, frame authentication, TCP and IP add to a frame. */
    static constexpr std::size_t linkOverhead = 84;
    static constexpr Millis tickPeriod{100};

    explicit VirtualCluster(ClusterShape shape, MembershipConfig config = MembershipConfig());
    VirtualCluster(const VirtualCluster &) = delete;
    VirtualCluster &operator=(const VirtualCluster &) = delete;

    FakeScheduler &scheduler() { return scheduler_; }
    Millis now() const { return scheduler_.now(); }
    std::size_t size() const { return instances_.size(); }
    VirtualInstance &at(std::size_t index) { return *instances_[index]; }
    Membership &membership(std::size_t index) { return *instances_[index]->membership; }

    /** Starts one instance with the first three as its seeds; again for a new life of it. */
    void start(std::size_t index);
    /** Starts all, spread over two seconds. */
    void startAll();
    void runFor(Millis span) { scheduler_.runFor(span); }

    /** Ends the process without a word. */
    void kill(std::size_t index) { at(index).process->kill(); }
    /** Cuts off one instance from all others, or joins it again. */
    void setConnected(std::size_t index, bool connected) { at(index).connected = connected; }
    /** Cuts the path between two instances alone, both ways. */
    void setPathCut(std::size_t one, std::size_t other, bool cut);
    /** Lets regions lose each other, or find each other again. */
    void setRegionsCut(bool cut) { regionsCut_ = cut; }
    /** Sends a frame as an instance would. */
    void send(std::size_t from, const PeerAddress &to, std::string frame);

    /** Returns true when all running instances know exactly each other, all alive. */
    bool isSettled();
    /** Sets all byte and frame counts to zero. */
    void resetCounts();

    static InstanceId idOf(std::size_t index);
    static PeerAddress addressOf(std::size_t index);

private:
    MemberRecord recordOf(std::size_t index) const;
    MembershipHooks hooksOf(std::size_t index);
    void tick(std::size_t index, const FakeProcessPtr &process);
    void deliver(std::size_t to, const std::string &frame);
    bool isReachable(std::size_t from, std::size_t to) const;
    std::size_t regionOf(std::size_t index) const;

    ClusterShape shape_;
    MembershipConfig config_;
    FakeScheduler scheduler_;
    RandomHook random_;
    std::vector<std::unique_ptr<VirtualInstance>> instances_;
    Incarnation lastIncarnation_ = 0;
    bool regionsCut_ = false;
    std::set<std::pair<std::size_t, std::size_t>> cutPaths_;
};

} // namespace cuminrail

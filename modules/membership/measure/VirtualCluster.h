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

/** Number of instances and their distribution over failure domains and regions. */
struct ClusterShape
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t regions = 1;
    /** Share of frames lost. */
    double loss = 0;
    std::uint64_t seed = 1;
};

/** One instance of a simulated cluster. */
struct VirtualInstance
{
    FakeProcessPtr process;
    std::unique_ptr<Membership> membership;
    /** False while the instance is isolated from all others. */
    bool connected = true;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    /** Hooks that a test sets in place of the rest of the instance. */
    std::function<SettingsDigest(Millis)> settingsDigest;
    std::function<void(const UrgentFact &)> onFact;
    std::function<void(const PeerDigest &)> onPeerDigest;
    std::function<void()> onMembersChanged;
    std::function<void(FrameChannel, const std::string &frame)> onOtherFrame;
    std::function<void(Millis)> onTick;
    EventSink events;
};

/**
    Several memberships in virtual time on a simulated network, for tests and measurements.

    Frames are actually encoded and decoded. The latency is 1 ms within a region and 15 ms between
    two. Frames are lost at random, when regions are partitioned and when the sender or receiver is
    not running. Nothing else is simulated.
*/
class VirtualCluster
{
public:
    /** Bytes added to a frame by WebSocket, frame authentication, TCP and IP. */
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

    /**
        Starts an instance, or restarts it as a new incarnation, with the first three instances as
        seeds.
    */
    void start(std::size_t index);
    /** Starts all instances, distributed over two seconds. */
    void startAll();
    void runFor(Millis span) { scheduler_.runFor(span); }

    /** Ends the process without an announcement. */
    void kill(std::size_t index) { at(index).process->kill(); }
    /** Isolates an instance from all others, or reconnects it. */
    void setConnected(std::size_t index, bool connected) { at(index).connected = connected; }
    /** Cuts or restores the link between two instances, in both directions. */
    void setLinkCut(std::size_t one, std::size_t other, bool cut);
    /** Partitions the regions, or reconnects them. */
    void setRegionsPartitioned(bool cut) { regionsPartitioned_ = cut; }
    /** Sends a frame from an instance over the simulated network. */
    void send(std::size_t from, const PeerAddress &to, std::string frame);

    /** Returns true if every running instance knows exactly the running instances, all as alive. */
    bool isConverged();
    /** Resets all byte and frame counts. */
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
    bool regionsPartitioned_ = false;
    std::set<std::pair<std::size_t, std::size_t>> cutLinks_;
};

} // namespace cuminrail

#pragma once

#include "engineview/EngineView.h"
#include "ports/testing/FakeScheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Several engine views in virtual time, connected by a simulated network that counts bytes.

    For tests and for measuring the cost for a given size. Engines respond to a poll immediately
    with engineState(). The network loses a share of the frames.
*/
class ViewCluster
{
public:
    struct Size
    {
        std::size_t instances = 6;
        std::size_t engines = 12;
        std::size_t domains = 3;
        /** Percentage of frames lost. */
        std::uint64_t lossPercent = 0;
        std::uint64_t seed = 1;
    };

    explicit ViewCluster(const Size &size);
    ViewCluster(const ViewCluster &) = delete;
    ViewCluster &operator=(const ViewCluster &) = delete;

    void runFor(Millis span) { scheduler_.runFor(span); }
    Millis now() const { return scheduler_.now(); }

    /** Returns the state that an engine will return when polled next. */
    EngineState &engineState(std::size_t engine) { return states_[engine]; }
    EngineView &view(std::size_t instance) { return *views_[instance]; }
    /** Stops an instance; the others are notified immediately. */
    void kill(std::size_t instance);

    /** Returns how many running instances know the current facts of this engine. */
    std::size_t countInformed(std::size_t engine) const;
    /** Returns the age of the oldest report of any engine on any running instance. */
    Millis oldestReport() const;

    /** Totals over all instances since the last reset. */
    struct Traffic
    {
        std::uint64_t bytes = 0;
        std::uint64_t frames = 0;
        std::uint64_t polls = 0;
    };
    const Traffic &traffic() const { return traffic_; }
    void resetTraffic() { traffic_ = {}; }

private:
    EngineControl engineControl();
    PeerTransport transport(std::size_t from);
    void deliver(std::size_t from, const PeerAddress &to, const std::string &frame);
    std::vector<MemberRecord> runningMembers() const;
    std::vector<PeerAddress> neighboursOf(std::size_t instance) const;

    const Size size_;
    FakeScheduler scheduler_;
    std::vector<EngineState> states_;
    std::vector<EngineSettings> engines_;
    std::vector<MemberRecord> members_;
    std::vector<bool> alive_;
    std::vector<std::unique_ptr<EngineView>> views_;
    std::map<PeerAddress, std::size_t> byAddress_;
    std::map<UpstreamId, std::size_t> byEngine_;
    Traffic traffic_;
};

} // namespace cuminrail

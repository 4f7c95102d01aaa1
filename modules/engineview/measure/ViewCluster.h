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
    Many engine views in virtual time, joined by an in-memory link that counts bytes.

    For tests and for measuring what the view costs at a size; engines answer at once with what
    engineState() holds. Links lose a share of the frames.
*/
class ViewCluster
{
public:
    struct Size
    {
        std::size_t instances = 6;
        std::size_t engines = 12;
        std::size_t domains = 3;
        /** Frames lost, in a hundred. */
        std::uint64_t lossPercent = 0;
        std::uint64_t seed = 1;
    };

    explicit ViewCluster(const Size &size);
    ViewCluster(const ViewCluster &) = delete;
    ViewCluster &operator=(const ViewCluster &) = delete;

    void runFor(Millis span) { scheduler_.runFor(span); }
    Millis now() const { return scheduler_.now(); }

    /** The state that an engine gives when it is polled next. */
    EngineState &engineState(std::size_t engine) { return states_[engine]; }
    EngineView &view(std::size_t instance) { return *views_[instance]; }
    /** Ends an instance; the others hear of it at once. */
    void kill(std::size_t instance);

    /** Returns how many living instances know this engine with its current facts. */
    std::size_t informed(std::size_t engine) const;
    /** Returns the age of the oldest report that any living instance has of any engine. */
    Millis oldestReport() const;

    /** Counts over all instances since the last reset. */
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
    std::vector<MemberRecord> livingMembers() const;
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

#pragma once

#include "departures/departures.h"
#include "keepers/testing/FrameNetwork.h"

#include <map>
#include <memory>
#include <vector>

namespace cuminrail::testing {

/** Simulated instances in virtual time, some of which hear from upstreams that these leave. */
class DepartureCluster : public FrameNetwork
{
public:
    DepartureCluster(int instances, std::uint64_t seed)
        : FrameNetwork(seed), instances_(static_cast<std::size_t>(instances))
    {
        for (int i = 0; i < instances; ++i)
            start(i);
        advance(Millis(1000));
    }

    int count() const { return static_cast<int>(instances_.size()); }
    DepartureExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }
    /** An instance that starts anew knows nothing. */
    void start(int i)
    {
        dead.erase(i);
        auto &instance = instances_[static_cast<std::size_t>(i)];
        instance = std::make_unique<DepartureExchange>(
            transportOf(i), Clock([this] { return now; }), [this] { return random_(); });
        instance->setPeers(peersOf(i, count()));
        instance->onDeparture = [this](UpstreamIncarnation, DepartureSource) { ++learned; };
    }

    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + Millis(5);
            deliver([this](int to, const PeerAddress &, const std::string &frame) {
                ++frames;
                at(to).handleFrame(frame);
            });
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
        }
    }

    /** Returns how many running instances know the departure. */
    int knowing(UpstreamIncarnation upstream)
    {
        int known = 0;
        for (int i = 0; i < count(); ++i)
            known += isRunning(i) && at(i).isKnown(upstream) ? 1 : 0;
        return known;
    }

    int learned = 0;
    int frames = 0;

private:
    std::vector<std::unique_ptr<DepartureExchange>> instances_;
};

} // namespace cuminrail::testing

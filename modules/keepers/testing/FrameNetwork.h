#pragma once

#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "keepers/ranking/OwnerRanking.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::testing {

/**
    Simulated links between numbered instances in virtual time, whose frames a test delays, drops or
    blocks. Base class of clusters that run decision modules.
*/
class FrameNetwork
{
public:
    explicit FrameNetwork(std::uint64_t seed) : random_(seededRandom(seed)) { }

    static std::string nameOf(int i) { return "i-" + std::to_string(i); }
    static int numberOf(const PeerAddress &address) { return std::stoi(address.substr(2)); }
    /** The list of all instances for instance @c i, itself first. */
    static std::vector<OwnerCandidate> peersOf(int i, int count)
    {
        std::vector<OwnerCandidate> peers{{InstanceId(nameOf(i)), {}}};
        for (int other = 0; other < count; ++other) {
            if (other != i)
                peers.push_back({InstanceId(nameOf(other)), nameOf(other)});
        }
        return peers;
    }
    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    bool isRunning(int i) const { return dead.count(i) == 0 && frozen.count(i) == 0; }

    Millis now = Millis(100000);
    std::set<int> dead;
    /** Instances that neither receive nor send until they are removed from this set. */
    std::set<int> frozen;
    /** Whether frames from one instance to another one are dropped. */
    std::function<bool(int from, int to)> isCut = [](int, int) { return false; };
    int lossPercent = 0;
    /** Size of all frames so far. */
    std::uint64_t sentBytes = 0;
    Millis maxDelay = Millis(4);

protected:
    ~FrameNetwork() = default;

    PeerTransport transportOf(int i)
    {
        PeerTransport transport;
        transport.send = [this, i](const PeerAddress &to, std::string frame) {
            post(i, numberOf(to), std::move(frame));
        };
        return transport;
    }

    /** Delivers frames that are due; frames to a frozen instance wait. */
    void deliver(const std::function<void(int to, const PeerAddress &from,
                                          const std::string &frame)> &receive)
    {
        std::deque<Frame> later;
        std::deque<Frame> due;
        for (Frame &frame : frames_)
            (frame.at <= now && frozen.count(frame.to) == 0 ? due : later)
                .push_back(std::move(frame));
        frames_ = std::move(later);
        for (const Frame &frame : due) {
            if (dead.count(frame.to) == 0)
                receive(frame.to, nameOf(frame.from), frame.bytes);
        }
    }

    RandomHook random_;

private:
    struct Frame
    {
        int from = 0;
        int to = 0;
        std::string bytes;
        Millis at;
    };

    void post(int from, int to, std::string frame)
    {
        if (dead.count(from) > 0 || dead.count(to) > 0 || isCut(from, to)
            || pick(100) < lossPercent)
            return;
        sentBytes += frame.size();
        const Millis at = now + Millis(1 + pick(static_cast<int>(maxDelay.count())));
        frames_.push_back({from, to, std::move(frame), at});
    }

    std::deque<Frame> frames_;
};

} // namespace cuminrail::testing

#pragma once

#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Counters since the start. */
struct FrameRelayStats
{
    /** Frames of this instance that were sent through another one. */
    std::uint64_t relayed = 0;
    /** Frames of others that were passed on. */
    std::uint64_t forwarded = 0;
    /** Relayed frames that could not be read or passed on. */
    std::uint64_t refused = 0;
};

/**
    Sends frames to instances without a link through one that has links to both ends.

    Load: a thousand instances with a request in seconds each, whose queries go to any of dozens of
    owners. With a link to each owner, every instance would keep dozens of links that are hardly
    used, and every owner one from each instance. Here each has links to a few relays of its group,
    and only relays have links to all owners.

    A frame is passed on once. The reply takes the way of the query back.
*/
class FrameRelay
{
public:
    /** Known ways back, at most; queries are replied to within milliseconds. */
    static constexpr std::size_t maxRoutes = 4096;

    struct Hooks
    {
        PeerTransport transport;
        std::function<bool(const PeerAddress &)> isLinked;
    };

    /** A frame for this instance, and the instance that sent it. */
    struct Arrival
    {
        PeerAddress from;
        std::string frame;
    };

    FrameRelay(PeerAddress self, Hooks hooks);

    /** Sets the instances that relay; without any, all frames are sent directly. */
    void setRelays(std::vector<PeerAddress> relays);
    /** Returns a transport that uses relays; valid as long as this object. */
    PeerTransport transport();
    /** Handles a frame from a link. Returns nothing if it was not for this instance. */
    std::optional<Arrival> receive(const PeerAddress &from, const std::string &frame);

    const FrameRelayStats &stats() const { return stats_; }

private:
    void send(const PeerAddress &to, std::string frame);
    /** Returns the instance through which to send; nothing for a direct way. */
    std::optional<PeerAddress> relayFor(const PeerAddress &to) const;

    PeerAddress self_;
    Hooks hooks_;
    std::vector<PeerAddress> relays_;
    /** The instance through which frames of another one arrived last. */
    std::unordered_map<PeerAddress, PeerAddress> routes_;
    FrameRelayStats stats_;
};

} // namespace cuminrail

#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "routing/live/LiveLoads.h"
#include "routing/table/RoutingTable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** What the sender of a message has in progress at one upstream. */
struct LoadEntry
{
    /** Lower half of the hash of the upstream's name; indexes differ between instances. */
    std::uint32_t upstream = 0;
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0;
};

/** What one instance has in progress at all upstreams; those without work are left out. */
struct LoadMessage
{
    InstanceId sender;
    Incarnation incarnation = 0;
    /** Increases with each message of the incarnation. */
    std::uint64_t sequence = 0;
    std::vector<LoadEntry> loads;
};

std::string encodeLoadMessage(const LoadMessage &message);
std::optional<LoadMessage> decodeLoadMessage(std::string_view frame, Reason *lastReason = nullptr);

/** Tunables of the load exchange. */
struct LoadExchangeOptions
{
    Millis interval = Millis(50);
    /** Lengthens the interval with the number of peers, to bound the bytes sent per second. */
    Millis intervalPerPeer = Millis(10);
    /** With more peers than this nothing is exchanged, and only the engines' reports count. */
    std::size_t maxPeers = 16;
    /** When a peer has been unresponsive for this long, the engines' reports count again. */
    Millis peerTimeout = Millis(600);
};

/**
    Exchanges with peers what each instance has in progress at the engines, so that all know an
    engine's load earlier than from its lagging report.

    While the last message of every peer is recent, the sum over peers replaces the engine's report.
    As soon as one peer is unresponsive, the reports count again: its load is then unknown, not
    zero. Messages carry absolute values, so a lost or duplicate one does no harm; one that arrives
    out of order is dropped.

    The cost grows with the square of the number of instances, so the exchange is only for small
    deployments; large ones rely on reports, random samples and preferences.

    Control thread.
*/
class LoadExchange
{
public:
    using Send = std::function<void(const InstanceId &to, std::string frame)>;

    LoadExchange(InstanceId self, Incarnation incarnation, LoadExchangeOptions options, Send send);

    /** Sets the live instances; this one is ignored. */
    void setPeers(const std::vector<InstanceId> &peers);

    /** Sets the upstreams from a new routing table. */
    void setTable(const RoutingTable &table);

    /** Sends a message when the interval has passed. Call every 10 to 50 ms. */
    void poll(const LiveLoads &loads, Millis now);

    /** Handles a message from a peer. Malformed messages and unknown senders are ignored. */
    void handleFrame(std::string_view frame, LiveLoads &loads, Millis now);

    /** Returns true while recent loads of all peers replace the reports. */
    bool hasAllPeerLoads(Millis now) const;

private:
    struct Peer
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        Millis lastReceivedAt = Millis(-1000000);
        std::map<UpstreamIndex, LoadEntry> loads;
    };

    void applyPeerLoads(LiveLoads &loads, Millis now) const;

    InstanceId self_;
    Incarnation incarnation_;
    LoadExchangeOptions options_;
    Send send_;
    std::map<InstanceId, Peer> peers_;
    std::unordered_map<std::uint32_t, UpstreamIndex> indexes_;
    std::vector<std::uint32_t> hashes_;
    std::uint64_t nextSequence_ = 1;
    Millis lastSentAt_ = Millis(-1000000);
};

} // namespace cuminrail

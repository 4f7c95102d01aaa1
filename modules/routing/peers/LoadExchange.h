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

/** One upstream's line in a message: what the sender has in progress there. */
struct SharedLoad
{
    /** The lower half of the hash of the upstream's name; indexes differ between instances. */
    std::uint32_t upstream = 0;
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0;
};

/** What one instance has in progress at all upstreams; upstreams without work are left out. */
struct SharedLoads
{
    InstanceId sender;
    Incarnation incarnation = 0;
    /** Rises with each message of the incarnation. */
    std::uint64_t number = 0;
    std::vector<SharedLoad> loads;
};

std::string encodeSharedLoads(const SharedLoads &message);
std::optional<SharedLoads> decodeSharedLoads(std::string_view frame, Reason *lastReason = nullptr);

/** Constants of the exchange. */
struct LoadExchangeOptions
{
    Millis interval = Millis(50);
    /** Lengthens the interval so that a node's bytes a second stay bounded. */
    Millis intervalPerPeer = Millis(10);
    /** With more peers than this the engines' reports alone count. */
    std::size_t mostPeers = 16;
    /** A peer silent for so long counts with nothing, and reports count again. */
    Millis fresh = Millis(600);
};

/**
    Tells few peers what is in progress here, so that all know an engine's load sooner than from
    its lagging report.

    While every peer's word is fresh, the sum over peers replaces the engine's report. As soon as
    one falls silent the reports count again: its work is then unknown, not zero. Messages are
    absolute figures, so a lost or repeated one does no harm; an overtaken one is dropped.

    The cost grows with the square of the number of instances, so it is for deployments of few
    instances; large ones rely on reports, samples and preferences.

    Control thread.
*/
class LoadExchange
{
public:
    using Send = std::function<void(const InstanceId &to, std::string frame)>;

    LoadExchange(InstanceId self, Incarnation incarnation, LoadExchangeOptions options, Send send);

    /** Takes the other live instances. */
    void setPeers(const std::vector<InstanceId> &peers);

    /** Takes the upstreams of a newer table. */
    void setTable(const RoutingTable &table);

    /** Sends when it is time to. Call every 10 to 50 ms. */
    void poll(const LiveLoads &loads, Millis now);

    /** A message from a peer. */
    void receive(std::string_view frame, LiveLoads &loads, Millis now);

    /** Returns true while the sums over peers replace the reports. */
    bool isComplete(Millis now) const;

private:
    struct Peer
    {
        Incarnation incarnation = 0;
        std::uint64_t number = 0;
        Millis heardAt = Millis(-1000000);
        std::map<UpstreamIndex, SharedLoad> loads;
    };

    void replaceReports(LiveLoads &loads, Millis now) const;

    InstanceId self_;
    Incarnation incarnation_;
    LoadExchangeOptions options_;
    Send send_;
    std::map<InstanceId, Peer> peers_;
    std::unordered_map<std::uint32_t, UpstreamIndex> indexes_;
    std::vector<std::uint32_t> hashes_;
    std::uint64_t nextNumber_ = 1;
    Millis sentAt_ = Millis(-1000000);
};

} // namespace cuminrail

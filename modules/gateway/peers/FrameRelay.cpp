#include "gateway/peers/FrameRelay.h"

#include "core/hash/StableHash.h"
#include "membership/messages/CborArrayReader.h"

#include <utility>

namespace cuminrail {

namespace {

using nlohmann::json;

/** Tag and encoded start of a relayed frame: an array of four, a one-byte number. */
constexpr std::uint64_t relayTag = 0x3a;
constexpr const char *relayStart = "\x84\x18\x3a";
constexpr std::size_t startBytes = 3;
constexpr std::size_t maxAddressBytes = 64;

/** A frame on its way through another instance. */
struct RelayedFrame
{
    PeerAddress origin;
    PeerAddress to;
    std::string frame;
};

std::string encode(const RelayedFrame &relayed)
{
    const std::vector<std::uint8_t> bytes(relayed.frame.begin(), relayed.frame.end());
    return encodeCbor(json::array({relayTag, relayed.origin, relayed.to, json::binary(bytes)}));
}

bool isRelayed(const std::string &frame)
{
    return frame.compare(0, startBytes, relayStart) == 0;
}

std::optional<RelayedFrame> decode(const std::string &frame)
{
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(relayTag);
    RelayedFrame relayed;
    relayed.origin = elements.name(maxAddressBytes);
    relayed.to = elements.name(maxAddressBytes);
    relayed.frame = elements.bytes(FrameLimits::bytes);
    if (!elements.isFullyRead() || relayed.origin.empty() || relayed.to.empty())
        return std::nullopt;
    return relayed;
}

} // namespace

FrameRelay::FrameRelay(PeerAddress self, Hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks))
{ }

void FrameRelay::setRelays(std::vector<PeerAddress> relays)
{
    relays_ = std::move(relays);
    routes_.clear();
}

PeerTransport FrameRelay::transport()
{
    PeerTransport transport;
    transport.send = [this](const PeerAddress &to, std::string frame) {
        send(to, std::move(frame));
    };
    return transport;
}

std::optional<PeerAddress> FrameRelay::relayFor(const PeerAddress &to) const
{
    if (hooks_.isLinked(to))
        return std::nullopt;
    const auto route = routes_.find(to);
    if (route != routes_.end() && hooks_.isLinked(route->second))
        return route->second;
    // The same relay for the same receiver, so that frames do not overtake each other.
    const std::uint64_t first = relays_.empty() ? 0 : StableHash().add(to).value();
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        const PeerAddress &relay = relays_[(first + i) % relays_.size()];
        if (relay != to && hooks_.isLinked(relay))
            return relay;
    }
    return std::nullopt;
}

void FrameRelay::send(const PeerAddress &to, std::string frame)
{
    const auto relay = relayFor(to);
    if (!relay)
        return hooks_.transport.send(to, std::move(frame));
    ++stats_.relayed;
    hooks_.transport.send(*relay, encode({self_, to, std::move(frame)}));
}

std::optional<FrameRelay::Arrival> FrameRelay::receive(const PeerAddress &from,
                                                       const std::string &frame)
{
    if (!isRelayed(frame))
        return Arrival{from, frame};
    auto relayed = decode(frame);
    // Only the origin's own frames are passed on, so that no frame goes in circles.
    if (!relayed || (relayed->to != self_ && relayed->origin != from)) {
        ++stats_.refused;
        return std::nullopt;
    }
    if (relayed->to != self_) {
        ++stats_.forwarded;
        hooks_.transport.send(relayed->to, frame);
        return std::nullopt;
    }
    if (routes_.size() >= maxRoutes)
        routes_.clear();
    routes_[relayed->origin] = from;
    return Arrival{std::move(relayed->origin), std::move(relayed->frame)};
}

} // namespace cuminrail

#include "routing/peers/LoadExchange.h"

#include "routing/prefix/PrefixChain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

using nlohmann::json;

std::uint32_t upstreamHash(const UpstreamId &upstream)
{
    return static_cast<std::uint32_t>(nameHash(upstream.text()));
}

std::uint32_t clampedCount(const std::atomic<std::int64_t> &value)
{
    const std::int64_t count = value.load(std::memory_order_relaxed);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, 0x7FFFFFFF));
}

} // namespace

std::string encodeLoadMessage(const LoadMessage &message)
{
    json loads = json::array();
    for (const LoadEntry &load : message.loads) {
        loads.push_back(load.upstream);
        loads.push_back(load.requests);
        loads.push_back(load.promptTokens);
    }
    const json encoded =
        json::array({message.sender.text(), message.incarnation, message.sequence, loads});
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return {bytes.begin(), bytes.end()};
}

std::optional<LoadMessage> decodeLoadMessage(std::string_view frame, Reason *lastReason)
{
    try {
        const json encoded = json::from_cbor(frame.begin(), frame.end());
        LoadMessage message;
        message.sender = InstanceId(encoded.at(0).get<std::string>());
        message.incarnation = encoded.at(1).get<Incarnation>();
        message.sequence = encoded.at(2).get<std::uint64_t>();
        const json &loads = encoded.at(3);
        for (std::size_t i = 0; i + 2 < loads.size(); i += 3) {
            message.loads.push_back({loads[i].get<std::uint32_t>(),
                                     loads[i + 1].get<std::uint32_t>(),
                                     loads[i + 2].get<std::uint32_t>()});
        }
        return message;
    } catch (const json::exception &error) {
        fail(lastReason, "malformed load message", error.what());
        return std::nullopt;
    }
}

LoadExchange::LoadExchange(InstanceId self, Incarnation incarnation, LoadExchangeOptions options,
                           Send send)
    : self_(std::move(self)), incarnation_(incarnation), options_(options), send_(std::move(send))
{ }

void LoadExchange::setPeers(const std::vector<InstanceId> &peers)
{
    std::map<InstanceId, Peer> next;
    for (const InstanceId &peer : peers) {
        if (peer != self_)
            next[peer] = peers_.count(peer) > 0 ? peers_[peer] : Peer();
    }
    peers_ = std::move(next);
}

void LoadExchange::setTable(const RoutingTable &table)
{
    indexes_.clear();
    hashes_.clear();
    for (UpstreamIndex index = 0; index < table.upstreamCount(); ++index) {
        hashes_.push_back(upstreamHash(table.upstream(index).id));
        indexes_[hashes_.back()] = index;
    }
}

void LoadExchange::poll(const LiveLoads &loads, Millis now)
{
    const auto count = static_cast<std::int64_t>(peers_.size());
    const Millis interval =
        std::max(options_.interval, options_.intervalPerPeer * std::max<std::int64_t>(1, count));
    if (peers_.empty() || peers_.size() > options_.maxPeers || now < lastSentAt_ + interval)
        return;
    lastSentAt_ = now;
    LoadMessage message;
    message.sender = self_;
    message.incarnation = incarnation_;
    message.sequence = nextSequence_++;
    for (UpstreamIndex index = 0; index < hashes_.size(); ++index) {
        const UpstreamLoad &live = loads.upstream(index);
        const LoadEntry load{hashes_[index], clampedCount(live.requests),
                             clampedCount(live.promptTokens)};
        if (load.requests > 0 || load.promptTokens > 0)
            message.loads.push_back(load);
    }
    const std::string frame = encodeLoadMessage(message);
    for (const auto &entry : peers_)
        send_(entry.first, frame);
}

void LoadExchange::handleFrame(std::string_view frame, LiveLoads &loads, Millis now)
{
    const auto message = decodeLoadMessage(frame);
    if (!message)
        return;
    const auto entry = peers_.find(message->sender);
    if (entry == peers_.end())
        return;
    Peer &peer = entry->second;
    const auto order = std::make_pair(message->incarnation, message->sequence);
    if (order <= std::make_pair(peer.incarnation, peer.sequence))
        return;
    peer.incarnation = message->incarnation;
    peer.sequence = message->sequence;
    peer.lastReceivedAt = now;
    peer.loads.clear();
    for (const LoadEntry &load : message->loads) {
        const auto index = indexes_.find(load.upstream);
        if (index != indexes_.end())
            peer.loads[index->second] = load;
    }
    if (hasAllPeerLoads(now))
        applyPeerLoads(loads, now);
}

bool LoadExchange::hasAllPeerLoads(Millis now) const
{
    if (peers_.empty() || peers_.size() > options_.maxPeers)
        return false;
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        return now < entry.second.lastReceivedAt + options_.peerTimeout;
    });
}

void LoadExchange::applyPeerLoads(LiveLoads &loads, Millis now) const
{
    std::vector<std::pair<std::int64_t, std::int64_t>> sums(hashes_.size());
    for (const auto &[name, peer] : peers_) {
        for (const auto &[index, load] : peer.loads) {
            sums[index].first += load.requests;
            sums[index].second += load.promptTokens;
        }
    }
    for (UpstreamIndex index = 0; index < sums.size(); ++index)
        loads.applyPeerSums(index, sums[index].first, sums[index].second, now,
                            options_.peerTimeout);
}

} // namespace cuminrail

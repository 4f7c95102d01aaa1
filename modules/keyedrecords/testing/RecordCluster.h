#pragma once

#include "keepers/testing/FrameNetwork.h"
#include "keyedrecords/keyedrecords.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::testing {

/** Instances in several failure domains, with only their record exchanges, in virtual time. */
class RecordCluster : public FrameNetwork
{
public:
    RecordCluster(int instances, int domains, std::uint64_t seed,
                  std::size_t copies = RecordExchange::defaultCopies)
        : FrameNetwork(seed), domains_(domains), copies_(copies),
          exchanges_(static_cast<std::size_t>(instances)),
          bytesAt(static_cast<std::size_t>(instances))
    {
        for (int i = 0; i < instances; ++i)
            start(i);
        advance(Millis(50));
    }

    int count() const { return static_cast<int>(exchanges_.size()); }
    int domainOf(int i) const { return i % domains_; }
    RecordExchange &at(int i) { return *exchanges_[static_cast<std::size_t>(i)]; }
    bool isIn(int i, int domain) const { return domainOf(i) == domain; }

    /** Starts an instance without any state. */
    void start(int i)
    {
        dead.erase(i);
        auto &exchange = exchanges_[static_cast<std::size_t>(i)];
        exchange = std::make_unique<RecordExchange>(counted(transportOf(i), i),
                                                    Clock([this] { return now; }), copies_);
        std::vector<OwnerCandidate> peers = peersOf(i, count());
        for (OwnerCandidate &peer : peers) {
            const int number = numberOf(peer.instance.text());
            peer.failureDomain = "d" + std::to_string(domainOf(number));
        }
        exchange->setPeers(std::move(peers));
    }

    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + Millis(1);
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).handleFrame(from, frame);
            });
            if (now.count() % 10 != 0)
                continue;
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
        }
    }

    /** Publishes a record and returns whether it is kept by as many instances as wanted. */
    bool publish(int i, RecordKey key, RecordValue value)
    {
        std::optional<bool> kept;
        at(i).publish(key, value, [&kept](bool isKept) { kept = isKept; });
        for (int step = 0; step < 300 && !kept; ++step)
            advance(Millis(1));
        return kept.value_or(false);
    }

    RecordOutcome lookUp(int i, RecordKey key)
    {
        std::optional<RecordOutcome> outcome;
        const Millis askedAt = now;
        at(i).lookUp(key, 1, [&outcome](const RecordOutcome &found) { outcome = found; });
        while (!outcome && now - askedAt < Millis(1000))
            advance(Millis(1));
        lastLookUpTook = now - askedAt;
        return outcome.value_or(RecordOutcome());
    }

    Millis lastLookUpTook;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;

private:
    PeerTransport counted(PeerTransport inner, int i)
    {
        PeerTransport transport;
        transport.send = [this, i, inner = std::move(inner)](const PeerAddress &to,
                                                             std::string frame) {
            ++frames;
            bytes += frame.size();
            bytesAt[static_cast<std::size_t>(i)] += frame.size();
            bytesAt[static_cast<std::size_t>(numberOf(to))] += frame.size();
            inner.send(to, std::move(frame));
        };
        return transport;
    }

    int domains_;
    std::size_t copies_;
    std::vector<std::unique_ptr<RecordExchange>> exchanges_;

public:
    /** Bytes of frames that each instance sent or received. */
    std::vector<std::uint64_t> bytesAt;
};

} // namespace cuminrail::testing

#pragma once

#include "core/names/NameTable.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "departures/messages/DepartureMessages.h"
#include "keepers/directory/PeerDirectory.h"
#include "keepers/ranking/OwnerRanking.h"
#include "ports/peers/PeerTransport.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** How a departure became known to this instance. */
enum class DepartureSource : std::uint8_t { Response, Instance };

inline constexpr NameTable<DepartureSource, 2> departureSourceNames{{{
    {DepartureSource::Response, "response"},
    {DepartureSource::Instance, "instance"},
}}};

/**
    One instance's part in telling all instances which upstreams stated that they leave.

    Expected load: hundreds of instances that each get such a response within the same second, and
    releases that replace all upstreams of a service while the store is away.

    An instance reports a departure that it did not know to the first owners of the upstream, and
    an owner to which it is new announces it to all. Each instance also sends some departures to
    one other instance every second (anti-entropy), which repairs lost frames and updates instances
    that were unreachable, frozen or have started since.

    Not thread-safe: used from one thread. No call blocks.
*/
class DepartureExchange
{
public:
    /** Far longer than an upstream takes to leave, or an older entry of it is listed. */
    static constexpr Millis retention = Millis::minutes(5);
    /** Departures are told again for this long; frames under way then expire with the rest. */
    static constexpr Millis tellingPeriod = retention - Millis::seconds(10);
    static constexpr Millis antiEntropyInterval = Millis(1000);
    static constexpr std::size_t ownersPerUpstream = 2;
    static constexpr std::size_t maxEntries = 4096;

    DepartureExchange(PeerTransport transport, Clock clock, RandomHook random);

    /** Called for each departure that was not known. */
    std::function<void(UpstreamIncarnation, DepartureSource)> onDeparture;

    /** Sets the instances that tell each other, this one first. */
    void setPeers(const std::vector<OwnerCandidate> &peers);
    /** Returns whether a link is ready; optional. Anti-entropy uses only peers with a ready link.
     */
    void setLinkCheck(std::function<bool(const PeerAddress &)> isLinked)
    {
        peers_.isLinked = std::move(isLinked);
    }

    /** A response of the upstream stated that it leaves. */
    void report(UpstreamIncarnation incarnation);
    bool isKnown(UpstreamIncarnation incarnation) const
    {
        return learnedAt_.count(incarnation) > 0;
    }
    std::size_t size() const { return learnedAt_.size(); }

    /** Handles a frame from another instance. Returns false if it is not an announcement. */
    bool handleFrame(const std::string &frame);
    /** Performs due work; to be called every few milliseconds. */
    void tick();

private:
    /** Returns true if the departure was not known. */
    bool learn(UpstreamIncarnation incarnation, Millis at, DepartureSource source);
    void announce();
    void sendAntiEntropy();
    void expire();
    /** Returns the departures that are told again. */
    std::vector<UpstreamIncarnation> tellable() const;
    AnnouncedDeparture toAnnounced(UpstreamIncarnation incarnation) const;

    PeerTransport transport_;
    Clock clock_;
    RandomHook random_;
    OwnerRanking owners_;
    PeerDirectory peers_;
    std::unordered_map<UpstreamIncarnation, Millis> learnedAt_;
    std::set<UpstreamIncarnation> pendingAnnouncements_;
    Millis antiEntropyAt_;
};

} // namespace cuminrail

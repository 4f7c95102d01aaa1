#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "keepers/directory/PeerDirectory.h"
#include "keepers/ranking/OwnerRanking.h"
#include "ports/store/ObjectStore.h"
#include "quarantine/messages/QuarantineMessages.h"
#include "quarantine/table/SuspicionTable.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cuminrail {

/** Counters since the start. */
struct QuarantineStats
{
    /** Upstreams that ended under requests of this instance, counted once for each request. */
    std::uint64_t ends = 0;
    /** Requests whose quarantine this instance saw begin. */
    std::uint64_t quarantined = 0;
    /** Suspected requests that then completed at this instance. */
    std::uint64_t cleared = 0;
    std::uint64_t framesSent = 0;
};

/**
    One instance's part in detecting requests that end the upstreams that run them.

    Expected load: one request sent again under new identities to any of hundreds of instances, each
    of which sees one end at most; and engines that fail for other reasons with dozens of requests
    running.

    A starting instance sends a report without suspicions to one that reads the store for its group,
    and is sent those known there; without a reply it reads the store itself.

    An instance that sees an upstream end under a request reports it to the first three owners of
    the request's fingerprint. An owner at which the request thereby becomes suspected announces it
    to all instances. It also writes quarantined requests to the store, from which starting
    instances read them. Each instance sends some of its suspicions to one other instance every
    second (anti-entropy), which repairs lost frames and updates instances that were unreachable.

    Not thread-safe: used from one thread. No call blocks.
*/
class QuarantineExchange
{
public:
    static constexpr std::size_t ownersPerRequest = 3;
    static constexpr Millis antiEntropyInterval = Millis(1000);
    static constexpr std::size_t suspicionsPerRound = 32;
    /** Announcements are collected for this long and sent together. */
    static constexpr Millis announceDelay = Millis(20);
    /** Instances that start together spread their reads of the store over this time. */
    static constexpr Millis storeReadJitter = Millis(1000);
    static constexpr Millis initialRetryDelay = Millis(1000);
    static constexpr Millis maxRetryDelay = Millis::seconds(16);
    static constexpr Millis expireInterval = Millis::seconds(60);
    /** A starting instance asks others so often before it reads the store, with these pauses. */
    static constexpr int maxPeerQueries = 6;
    static constexpr Millis peerQueryInterval = Millis(500);

    struct Environment
    {
        PeerTransport transport;
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
    };

    explicit QuarantineExchange(Environment environment);

    /** All instances, this one first, each other one with the address on which it accepts links. */
    void setPeers(std::vector<OwnerCandidate> peers);
    /** Instances that read the store on behalf of this one; none if it reads the store itself. */
    void setReaders(std::vector<PeerAddress> readers) { readers_ = std::move(readers); }
    /** Returns whether a link is ready; optional. Anti-entropy uses only peers with a ready link.
     */
    void setLinkCheck(std::function<bool(const PeerAddress &)> isLinked)
    {
        peers_.isLinked = std::move(isLinked);
    }

    SuspicionLevel level(const RequestFingerprint &fingerprint) const
    {
        return table_.level(fingerprint, environment_.clock.now());
    }
    /** Returns the remaining quarantine of a request; nothing if it may run. */
    std::optional<Millis> remainingQuarantine(const RequestFingerprint &fingerprint) const;
    /** Whether any request is suspected; if none is, no fingerprint needs to be computed. */
    bool hasSuspects() const { return table_.hasSuspects(); }

    /** An upstream ended while it ran the request. */
    void upstreamEnded(const RequestFingerprint &fingerprint, UpstreamIncarnation incarnation);
    /** An upstream sent the complete response and is therefore still running. */
    void requestCompleted(const RequestFingerprint &fingerprint);

    /** The store came back from a copy: owners write quarantined requests again. */
    void storeRestored();

    /** Handles a frame from another instance. Returns false if it is not a quarantine message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Performs due work; to be called every few milliseconds. */
    void tick();

    const QuarantineStats &stats() const { return stats_; }
    const SuspicionTable &table() const { return table_; }

private:
    /** A write to the store that is retried until it succeeds. */
    struct PendingWrite
    {
        Millis nextAt;
        Millis retryDelay = initialRetryDelay;
        bool isInFlight = false;
    };

    void handle(const PeerAddress &from, const SuspicionAnnouncement &announcement);
    void handle(const PeerAddress &from, const SuspicionCleared &cleared);
    /** Merges a suspicion into the table. Returns true if the request's level rose. */
    bool applySuspicion(const Suspicion &suspicion);
    void handleReport(const PeerAddress &from, const Suspicion &suspicion);
    void clear(const RequestFingerprint &fingerprint);
    bool isOwnerOf(const RequestFingerprint &fingerprint) const;
    std::vector<PeerAddress> ownersOf(const RequestFingerprint &fingerprint) const;
    void announce(Millis now);
    void sendAntiEntropy();
    /** Learns what was quarantined before the start, from a reader or from the store. */
    void readQuarantined(Millis now);
    void readStore(Millis now);
    void sendQuarantined(const PeerAddress &to);
    void handleStoreRead(const StoreReply &reply);
    void writeStore(Millis now);
    void handleStoreWrite(const std::string &fingerprint, StoreStatus status);
    void remove(const RequestFingerprint &fingerprint);
    void send(const PeerAddress &to, const QuarantineMessage &message);
    void log(const EventKind &kind, const RequestFingerprint &fingerprint) const;

    Environment environment_;
    SuspicionTable table_;
    OwnerRanking owners_;
    PeerDirectory peers_;
    std::set<std::string> pendingAnnouncements_;
    std::map<std::string, PendingWrite> pendingWrites_;
    Millis announceAt_;
    Millis antiEntropyAt_;
    Millis expireAt_;
    Millis storeReadAt_;
    Millis storeReadRetryDelay_ = initialRetryDelay;
    bool isStoreReadInFlight_ = false;
    /** What was quarantined before the start is known, from the store or from a reader. */
    bool isStoreRead_ = false;
    std::vector<PeerAddress> readers_;
    int peerQueries_ = 0;
    PeerAddress queriedReader_;
    QuarantineStats stats_;
};

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "keepers/ranking/KeeperRanking.h"
#include "keepers/roster/PeerRoster.h"
#include "ports/store/ObjectStore.h"
#include "quarantine/book/SuspectBook.h"
#include "quarantine/messages/QuarantineMessages.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cuminrail {

/** Counters since the start. */
struct QuarantineStats
{
    /** Upstreams that ended under requests of this instance, once for each request. */
    std::uint64_t ends = 0;
    /** Requests that came to be quarantined, as this instance knows. */
    std::uint64_t quarantined = 0;
    /** Requests that were suspected and then ran to their end here. */
    std::uint64_t cleared = 0;
    std::uint64_t framesSent = 0;
};

/**
    One instance's part in finding requests that end the upstreams that run them.

    Load: one request that comes again under new identities at any of hundreds of instances, each
    of which sees one end at most; and engines that fail by themselves with dozens of requests.

    Whoever sees an upstream end under a request reports it to the first three keepers of the
    request's fingerprint. A keeper for which it thereby becomes suspected tells all instances;
    what is quarantined it also writes to the store, from which instances that start read it. Who
    knows of suspicions tells them to another instance each second, so that lost frames and
    instances that were away are made up for.

    Belongs to one thread; nothing here waits.
*/
class QuarantineExchange
{
public:
    static constexpr std::size_t ownersPerRequest = 3;
    static constexpr Millis antiEntropyInterval = Millis(1000);
    static constexpr std::size_t suspicionsPerRound = 32;
    /** What is to be announced is gathered for so long. */
    static constexpr Millis announceDelay = Millis(20);
    /** Instances that start together read the store spread over this. */
    static constexpr Millis storeReadJitter = Millis(1000);
    static constexpr Millis initialRetryDelay = Millis(1000);
    static constexpr Millis maxRetryDelay = Millis::seconds(16);
    static constexpr Millis expireInterval = Millis::seconds(60);

    struct Environment
    {
        PeerTransport transport;
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
    };

    explicit QuarantineExchange(Environment environment);

    /** All instances, this one first; with an address where they take links. */
    void setPeers(std::vector<KeeperCandidate> peers);
    /** Tells whether a link is ready; may be left out. Others are not told of suspicions by turns.
     */
    void setLinkCheck(std::function<bool(const PeerAddress &)> isLinked)
    {
        peers_.isLinked = std::move(isLinked);
    }

    SuspicionLevel level(const RequestFingerprint &fingerprint) const
    {
        return table_.level(fingerprint, environment_.clock.now());
    }
    /** Returns how much longer the request is not run; nothing if it may be. */
    std::optional<Millis> quarantineLeft(const RequestFingerprint &fingerprint) const;
    /** Whether any request is suspected; else no fingerprint needs to be worked out. */
    bool hasSuspects() const { return table_.hasSuspects(); }

    /** An upstream ended while it had the request. */
    void upstreamEnded(const RequestFingerprint &fingerprint, UpstreamLife incarnation);
    /** An upstream answered the request whole, and so lives. */
    void ranToItsEnd(const RequestFingerprint &fingerprint);

    /** A frame came from another instance. Returns false if it is no message of this kind. */
    bool received(const PeerAddress &from, const std::string &frame);
    /** Does what is due; to be called every few milliseconds. */
    void tick();

    const QuarantineStats &stats() const { return stats_; }
    const SuspicionTable &book() const { return table_; }

private:
    /** A call to the store that is made again until it took effect. */
    struct PendingWrite
    {
        Millis nextAt;
        Millis retryDelay = initialRetryDelay;
        bool isInFlight = false;
    };

    void handle(const PeerAddress &from, const SuspicionAnnouncement &announcement);
    void handle(const PeerAddress &from, const SuspicionCleared &cleared);
    /** Takes in what is told. Returns true if the request's level rose. */
    bool applySuspicion(const Suspicion &suspicion);
    void handleReport(const PeerAddress &from, const Suspicion &suspicion);
    void clear(const RequestFingerprint &fingerprint);
    bool isOwnerOf(const RequestFingerprint &fingerprint) const;
    std::vector<PeerAddress> ownersOf(const RequestFingerprint &fingerprint) const;
    void announce(Millis now);
    void sendAntiEntropy();
    void readStore(Millis now);
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
    bool isStoreRead_ = false;
    QuarantineStats stats_;
};

} // namespace cuminrail

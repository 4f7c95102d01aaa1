#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "keepers/directory/PeerDirectory.h"
#include "keepers/ranking/OwnerRanking.h"
#include "ports/store/ObjectStore.h"
#include "quarantine/exchange/QuarantineStore.h"
#include "quarantine/messages/QuarantineMessages.h"
#include "quarantine/table/SuspicionTable.h"
#include "quarantine/trials/TrialLane.h"

#include <functional>
#include <set>
#include <vector>

namespace cuminrail {

/** Counters since the start. */
struct QuarantineStats
{
    /** Upstreams that ended under requests of this instance, counted once for each request. */
    std::uint64_t ends = 0;
    /** Quarantines that this instance saw begin. */
    std::uint64_t quarantined = 0;
    /** Suspected contents for which endings were voided by a response at this instance. */
    std::uint64_t cleared = 0;
    /** Requests that this instance sent as trials. */
    std::uint64_t trials = 0;
    std::uint64_t framesSent = 0;
};

/** Whether a request may be sent. */
enum class QuarantineDecision : std::uint8_t {
    Send,
    /** It is the one that may be sent; its outcome decides over those that wait. */
    SendAsTrial,
    /** Another request with its content is being tried: ask again in a moment. */
    Wait,
    Refuse,
};

inline constexpr NameTable<QuarantineDecision, 4> quarantineDecisionNames{{{
    {QuarantineDecision::Send, "send"},
    {QuarantineDecision::SendAsTrial, "send-as-trial"},
    {QuarantineDecision::Wait, "wait"},
    {QuarantineDecision::Refuse, "refuse"},
}}};

struct QuarantineOptions
{
    /** Endings from which on a part is held that was not answered recently. */
    std::size_t holdThreshold = SuspicionTable::suspectedThreshold;
};

/**
    One instance's part in detecting what ends the upstreams that run it: whole requests, and parts
    that the prompts of many requests share.

    Expected load: requests that are no two alike but for one part, several a second at any of
    hundreds of instances, each of which sees one ending at most; and engines that fail for other
    reasons with dozens of requests running.

    An instance that sees an upstream end under a request reports the request's contents to their
    first three owners. An owner announces a content to all instances from the second ending on.
    Requests with such a part are then held: one at a time is tried, with the owner's permission.
    The instance whose trial ends its upstream announces a quarantine, which the quarantine's owners
   write to the store. A complete response that began after an ending voids it. Each instance
   repeats some of its suspicions and quarantines to one other instance every second (anti-entropy),
   which repairs lost frames and updates instances that were unreachable.

    A starting instance asks another one at once for what is in force, and then one that reads the
    store for its group; it reads the store itself without a reply.

    Not thread-safe: used from one thread. No call blocks.
*/
class QuarantineExchange
{
public:
    static constexpr std::size_t ownersPerContent = 3;
    /** Endings after which a whole request is refused. */
    static constexpr std::size_t requestThreshold = 3;
    /** Endings, the last one under a trial, after which a part is refused. */
    static constexpr std::size_t partThreshold = 3;
    static constexpr Millis antiEntropyInterval = Millis(1000);
    static constexpr std::size_t suspicionsPerRound = 32;
    /** Announcements and reports are collected for this long and sent together. */
    static constexpr Millis announceDelay = Millis(10);
    static constexpr Millis expireInterval = Millis::seconds(60);
    /** An upstream that ends within this time of a trial makes the trial doubtful. */
    static constexpr Millis doubtWindow = Millis::seconds(2);
    /** A starting instance asks others so often before it reads the store, with these pauses. */
    static constexpr int maxPeerQueries = 6;
    static constexpr Millis peerQueryInterval = Millis(500);
    static constexpr Millis briefingInterval = Millis(100);
    /** For so long after an ending, another customer's request is preferred as a trial. */
    static constexpr Millis otherCustomerWait = Millis(400);
    /** A failure domain that is lost takes its upstreams away within this time. */
    static constexpr Millis simultaneousSpan = Millis(50);

    struct Environment
    {
        PeerTransport transport;
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
    };

    explicit QuarantineExchange(Environment environment, QuarantineOptions options = {});

    /** Called when contents became held or refused. Optional. */
    std::function<void()> onRestricted;

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

    /** Returns whether a request may be sent now. */
    QuarantineDecision decide(const RequestContents &contents);
    /** Returns whether the request waits for a trial of another one. */
    bool isHeld(const RequestContents &contents) const { return heldContent(contents).has_value(); }
    SuspicionLevel level(const ContentFingerprint &content) const;
    /** Whether upstreams ended under the request's contents, so that it is not to be retried. */
    bool isSuspected(const RequestContents &contents) const;
    /** Returns the remaining quarantine of a request; nothing if it may run. */
    std::optional<Millis> remainingQuarantine(const RequestContents &contents) const;
    /** Whether anything is suspected; if not, no fingerprint needs to be computed. */
    bool hasSuspects() const
    {
        return table_.hasSuspects() || !quarantines_.isEmpty() || (isCutOff_ && !table_.isEmpty());
    }

    /** An upstream ended while it had the request. */
    void upstreamEnded(const RequestContents &contents, UpstreamIncarnation upstream,
                       bool isTrial = false);
    /** The request got a complete, successful response that began at this time. */
    void requestAnswered(const RequestContents &contents, Millis beganAt);
    /** A request that may be sent as a trial is over, or its outcome is known. */
    void trialEnded(const RequestContents &contents) { trials_.finish(contents); }
    /** Ends a quarantine at all instances; returns false if it is not known here. */
    bool lift(const std::string &id);

    /** The store came back from a copy: owners write quarantines again. */
    void storeRestored();

    /** Handles a frame from another instance. Returns false if it is not a quarantine message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Performs due work; to be called every few milliseconds. */
    void tick();

    const QuarantineStats &stats() const { return stats_; }
    const SuspicionTable &table() const { return table_; }
    std::vector<Quarantine> quarantines() const
    {
        return quarantines_.all(environment_.clock.now());
    }

private:
    void handle(const PeerAddress &from, const SuspicionAnnouncement &announcement);
    void handle(const PeerAddress &from, const SuspicionCleared &cleared);
    void handle(const PeerAddress &from, const QuarantineAnnouncement &announcement);
    void handle(const PeerAddress &from, const QuarantineLifted &lifted);
    void handle(const PeerAddress &from, const QuarantineQuery &query);
    void handle(const PeerAddress &from, const TrialQuery &query);
    void handle(const PeerAddress &from, const TrialReply &reply);
    void handle(const PeerAddress &from, const TrialEnded &ended);
    /** Merges a suspicion into the table. Returns true if others are to be told. */
    bool applySuspicion(const Suspicion &suspicion);
    void handleReport(const PeerAddress &from, const Suspicion &suspicion);
    /** Reaches a quarantine if the endings under a request that was tried suffice. */
    void judge(const RequestContents &contents);
    /** Returns the contents of a tried request that most endings speak against. */
    std::vector<ContentFingerprint> mostSuspected(const RequestContents &contents) const;
    bool isProvenByTrial(const Suspicion &suspicion, const RequestContents &contents) const;
    /** Returns the number of trials in which no other upstream ended at the same moment. */
    std::ptrdiff_t countTrials(const Suspicion &suspicion) const;
    /** Returns the number of endings, where those at the same moment count as one. */
    static std::size_t countMoments(const Suspicion &suspicion);
    /**
        Drops quarantines whose endings a new one explains. Returns false if it contradicts another
       one, and drops both: their contents are tried again.
    */
    bool settleWithOthers(const Quarantine &quarantine, Millis now);
    /** Puts a quarantine in force; returns false if it tells nothing new. */
    bool adopt(const Quarantine &quarantine);
    void clear(const ContentFingerprint &content,
               const std::vector<UpstreamIncarnation> &upstreams);
    /** Returns the part by which a request is held; the same one for all requests with it. */
    std::optional<ContentFingerprint> heldContent(const RequestContents &contents) const;
    std::vector<PeerAddress> ownersOf(const std::string &id) const;
    bool isOwnerOf(const std::string &id) const;
    /**
        Whether a trial of the request would leave open if a part ends upstreams for its customer
        alone, and another customer's request may come soon.
    */
    bool awaitsOtherCustomer(const RequestContents &contents, const ContentFingerprint &held) const;
    void flush(Millis now);
    void sendReports(Millis now);
    void sendAnnouncements(Millis now);
    void updateReach();
    void sendAntiEntropy();
    /** Learns the quarantines from before the start, from a reader or from the store. */
    void readQuarantines(Millis now);
    void askForBriefing(Millis now);
    void sendQuarantines(const PeerAddress &to);
    void sendAll(const QuarantineMessage &message);
    void send(const PeerAddress &to, const QuarantineMessage &message);
    void log(const EventKind &kind, const std::string &content) const;
    void notifyRestricted() const;

    Environment environment_;
    QuarantineOptions options_;
    SuspicionTable table_;
    QuarantineTable quarantines_;
    OwnerRanking owners_;
    TrialLane trials_;
    QuarantineStore store_;
    PeerDirectory peers_;
    /** There are other instances, and no link to any of them is ready. */
    bool isCutOff_ = false;
    std::set<ContentFingerprint> pendingAnnouncements_;
    std::set<ContentFingerprint> pendingReports_;
    Millis flushAt_;
    Millis antiEntropyAt_;
    Millis expireAt_;
    std::vector<PeerAddress> readers_;
    int peerQueries_ = 0;
    Millis nextPeerQueryAt_;
    PeerAddress queriedReader_;
    /** Another instance has sent its quarantines, or cannot be asked. */
    bool isBriefed_ = false;
    Millis nextBriefingAt_;
    std::size_t nextQuarantine_ = 0;
    QuarantineStats stats_;
};

} // namespace cuminrail

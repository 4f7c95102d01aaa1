#pragma once

#include "core/time/Clock.h"
#include "keepers/ranking/OwnerRanking.h"
#include "quotas/ledger/QuotaLedger.h"
#include "quotas/messages/QuotaMessages.h"

#include <functional>
#include <map>
#include <vector>

namespace cuminrail {

/** How a request for a customer's quota ended. */
enum class QuotaResult : std::uint8_t {
    Granted,
    /** The customer is over its quota. */
    Refused,
    /** No owner replied. */
    Unknown,
};

inline constexpr NameTable<QuotaResult, 3> quotaResultNames{{{
    {QuotaResult::Granted, "granted"},
    {QuotaResult::Refused, "refused"},
    {QuotaResult::Unknown, "unknown"},
}}};

/** A grant to a request; empty where nothing needs to be returned. */
struct QuotaGrant
{
    std::string customer;
    double cost = 0;
    /** The owner that granted it; empty for this instance. */
    PeerAddress owner;

    bool isSet() const { return !customer.empty(); }
};

struct QuotaOutcome
{
    QuotaResult result = QuotaResult::Granted;
    QuotaGrant grant;
    /** @see QuotaDecision */
    std::optional<Millis> retryAfter;
    /** Level of the bucket as the owner reported it. */
    double level = 0;
};

/** Counters since the start. */
struct QuotaExchangeStats
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t givenBack = 0;
    /** Requests granted locally and charged to the owner afterwards. */
    std::uint64_t unasked = 0;
    /** Requests for which no owner replied. */
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t framesSent = 0;
};

/**
    One instance's part in enforcing customer quotas: it owns the buckets of some customers, and
    queries the owners of the others.

    Expected load: requests so large that a customer's quota covers some dozens of them in a window,
    spread over hundreds of instances by a load balancer that does not know customers.

    An owner that does not reply is excluded, and the next instance in the ranking is its
    substitute: it starts with a small bucket, grants at half the rate at first, and reports each
    grant to the primary owner. Small requests are granted locally without a query, within a share
    of the tolerance divided by the number of instances, and are charged to the owner afterwards.

    Not thread-safe: used from one thread. No call blocks.
*/
class QuotaExchange
{
public:
    /** Only a machine that used up its CPU share replies later; a substitute is faster then. */
    static constexpr Millis replyTimeout = Millis(40);
    /** An instance that starts learns its peers within this time. */
    static constexpr Millis peerDiscoveryTimeout = Millis(400);
    /** A grant that arrives after its query timed out is returned if it arrives within this time.
     */
    static constexpr Millis lateReplyRetention = Millis::seconds(5);

    using Completion = std::function<void(const QuotaOutcome &outcome)>;

    QuotaExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock);

    void setQuotas(QuotaTable quotas) { ledger_.setQuotas(std::move(quotas), clock_.now()); }
    /** There are no other instances to query. */
    void setStandalone() { arePeersKnown_ = true; }
    /**
        All instances, this one first, each other one with the address on which it accepts links.
        Until the first call owners are unknown: requests wait for peerDiscoveryTimeout, then end
        as Unknown.
    */
    void setPeers(std::vector<OwnerCandidate> peers);
    /** Share of all instances, 0 to 1, to which this one has a link. */
    void setReachableShare(double share) { ledger_.setReachableShare(share, clock_.now()); }
    /** Returns the customer's quota, or null. */
    const CustomerQuota *quota(const std::string &customer) const
    {
        return ledger_.quota(customer);
    }

    /**
        Requests a grant of the given cost from a customer's quota. The completion is called once:
        before this returns if no query is needed, else on the reply or in a tick() after the
        time-outs.
    */
    void acquire(const std::string &customer, double cost, Completion done);
    /** Returns the grant of a request that was not run, and clears it. */
    void release(QuotaGrant &grant);

    /** Handles a frame from another instance. Returns false if it is not a quota message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Drops pending requests without calling their completions; for the end of the process. */
    void dropPendingQueries();
    /** Handles time-outs; to be called every few milliseconds. */
    void tick();

    const QuotaExchangeStats &stats() const { return stats_; }
    const QuotaLedger &ledger() const { return ledger_; }

private:
    struct Pending
    {
        std::string customer;
        double cost = 0;
        Completion done;
        PeerAddress owner;
        Millis deadline;
        bool isRetry = false;
    };
    struct LateReply
    {
        std::string customer;
        double cost = 0;
        Millis expiresAt;
    };

    void acquireNow(const std::string &customer, double cost, const Completion &done);
    bool takeLocally(const std::string &customer, const CustomerQuota &quota, double cost);
    void queryOwner(Pending pending);
    QuotaDecision takeFromLedger(const std::string &customer, double cost);
    void finish(const Pending &pending, const QuotaDecision &decision, const PeerAddress &owner);
    void finishUnknown(const Completion &done);
    void handleTimeout(std::uint64_t number);
    void charge(const PeerAddress &owner, const QuotaCharge &charge);
    void send(const PeerAddress &to, const QuotaMessage &message);

    void handle(const PeerAddress &from, const QuotaQuery &query);
    void handle(const PeerAddress &from, const QuotaReply &reply);
    void handle(const PeerAddress &from, const QuotaCharge &charge);

    PeerTransport transport_;
    Clock clock_;
    OwnerRanking owners_;
    QuotaLedger ledger_;
    std::size_t instanceCount_ = 1;
    bool arePeersKnown_ = false;
    /** Requests that arrived before the peers were known, ordered by deadline. */
    std::vector<Pending> awaitingPeers_;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, LateReply> lateReplies_;
    /** What may be granted locally without a query, by customer. */
    std::unordered_map<std::string, TokenBucket> localBuckets_;
    std::uint64_t nextNumber_;
    QuotaExchangeStats stats_;
};

} // namespace cuminrail

#pragma once

#include "core/random/Random.h"
#include "keepers/directory/PeerDirectory.h"
#include "quotas/quotas.h"
#include "upstreamlimits/messages/LimitMessages.h"
#include "upstreamlimits/table/LimitTable.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Counters since the start. */
struct LimitStats
{
    /** Requests sent to upstreams that state a limit. */
    std::uint64_t used = 0;
    /** Of these, sent without a credit: already under way when the limit became known. */
    std::uint64_t unasked = 0;
    /** Credits returned because no request used them in time. */
    std::uint64_t givenBack = 0;
    std::uint64_t refused = 0;
};

/** How a request for a credit ended. */
struct CreditResult
{
    bool isGranted = false;
    /** Set if refused: after which time the upstream may accept a request. */
    Millis retryAfter;
};

/**
    One instance's part in enforcing the limits that upstreams state, over all instances together.

    Expected load: an overloaded upstream that accepts one request a second, and hundreds of
    instances that would each send at least one before they receive its limit; and services whose
    upstreams are all overloaded.

    A request is sent to a limited upstream only with a credit, which the owner of the upstream's
    token bucket grants. An instance keeps one credit of each such upstream for a short time. An
    instance that receives a limit reports it to the upstream's owner, which announces it to all.

    Not thread-safe: used from one thread. No call blocks.
*/
class LimitExchange
{
public:
    /** A credit that is used later than this would count in another window than its grant. */
    static constexpr Millis creditLifetime = Millis(500);
    /** Time until a credit is requested again after no owner replied. */
    static constexpr Millis noReplyPause = Millis(250);
    /** Credits that one request prefetches for later requests. */
    static constexpr int maxPrefetched = 2;
    static constexpr Millis expireInterval = Millis(1000);
    /** Interval at which known limits are sent to one other instance. */
    static constexpr Millis antiEntropyInterval = Millis(1000);

    using Completion = std::function<void(const CreditResult &answer)>;

    LimitExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock,
                  RandomHook random);
    LimitExchange(const LimitExchange &) = delete;
    LimitExchange &operator=(const LimitExchange &) = delete;

    /** Returns whether a link is ready; optional. Anti-entropy uses only peers with a ready link.
     */
    void setLinkCheck(std::function<bool(const PeerAddress &)> isLinked)
    {
        peers_.isLinked = std::move(isLinked);
    }

    /** There are no other instances to query. */
    void setStandalone() { quotas_.setStandalone(); }
    /** All instances, this one first, each other one with the address on which it accepts links. */
    void setPeers(const std::vector<OwnerCandidate> &peers);
    /** Share of all instances, 0 to 1, to which this one has a link. */
    void setReachableShare(double share) { quotas_.setReachableShare(share); }

    /** A response of the upstream stated a limit, or none. Returns how it differs from before. */
    LimitChange updateLimit(UpstreamIncarnation incarnation, std::optional<double> perSecond);
    /** Whether any upstream is limited; if none is, no credits are needed. */
    bool hasLimits() const { return table_.hasLimits(); }
    /** Whether a request may be sent there now: it is not limited, or a credit is available. */
    bool mayUse(UpstreamIncarnation incarnation) const;
    /**
        Returns after which time a limited upstream whose credit was refused recently may accept a
        request; nothing for any other upstream.
    */
    std::optional<Millis> retryDelay(UpstreamIncarnation incarnation) const;
    bool isExhausted(UpstreamIncarnation incarnation) const
    {
        return retryDelay(incarnation).has_value();
    }
    /** Requests credits of up to maxPrefetched of these upstreams, for later requests. */
    void prefetchCredits(const std::vector<UpstreamIncarnation> &incarnations);
    /** Requests a credit. The completion is called once, possibly before this returns. */
    void acquire(UpstreamIncarnation incarnation, Completion done);
    /** A request is sent there now; uses the credit, if there is one. */
    void use(UpstreamIncarnation incarnation);

    /** Handles a frame from another instance. Returns false if it is not a limit message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Performs due work; to be called every few milliseconds. */
    void tick();
    /** Drops pending requests without calling their completions; for the end of the process. */
    void dropPendingQueries();

    const LimitStats &stats() const { return stats_; }
    const LimitTable &table() const { return table_; }

private:
    struct Credit
    {
        QuotaGrant grant;
        bool isAvailable = false;
        bool isRequested = false;
        /** When an available credit expires, or a refused one may be requested again. */
        Millis expiresAt;
        std::vector<Completion> waiting;
    };

    LimitChange applyLimit(const StatedLimit &stated);
    void setQuotas();
    /** The limit ended: completes all waiting requests with a grant. */
    void dropCredit(UpstreamIncarnation incarnation);
    void handleOutcome(UpstreamIncarnation incarnation, const QuotaOutcome &outcome);
    void releaseUnused(Millis now);
    void announce();
    /** Sends known limits to one random peer, as it may have started recently and know none. */
    void sendAntiEntropy();
    void sendQuotaFrame(const PeerAddress &to, std::string frame);
    void sendAnnouncement(const PeerAddress &to, const StatedLimit &stated, bool isReport);
    AnnouncedLimit toAnnounced(const StatedLimit &stated) const;

    PeerTransport transport_;
    Clock clock_;
    RandomHook random_;
    LimitTable table_;
    OwnerRanking owners_;
    PeerDirectory peers_;
    QuotaExchange quotas_;
    std::unordered_map<UpstreamIncarnation, Credit> credits_;
    std::set<UpstreamIncarnation> pendingAnnouncements_;
    Millis expireAt_;
    Millis antiEntropyAt_;
    LimitStats stats_;
};

} // namespace cuminrail

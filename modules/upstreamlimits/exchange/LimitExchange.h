#pragma once

#include "core/random/Random.h"
#include "keepers/roster/PeerRoster.h"
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
    /** Requests sent to upstreams that name a limit. */
    std::uint64_t used = 0;
    /** Of these, without a credit: what was under way when the limit became known. */
    std::uint64_t unasked = 0;
    /** Credits that no request used in time. */
    std::uint64_t givenBack = 0;
    std::uint64_t refused = 0;
};

/** How a question for a credit ended. */
struct CreditAnswer
{
    bool isGranted = false;
    /** Set for one that is refused: when there may be room. */
    Millis comeBackAfter;
};

/**
    One instance's part in keeping the limits that upstreams name, over all instances together.

    Load: an upstream in need that takes one request a second, from hundreds of instances of which
    each would send one at least before it heard; and services of which all upstreams are in need.

    A request goes to a limited upstream only with a credit in hand, which the upstream's keeper
    grants from a bucket of the limit; instances keep one credit of each such upstream for a moment.
    Who hears of a limit tells the upstream's keeper, which tells all.

    Belongs to one thread; nothing here waits.
*/
class LimitExchange
{
public:
    /** A credit that is kept longer counts into a window in which it was not granted. */
    static constexpr Millis creditLifetime = Millis(500);
    /** After no keeper answered. */
    static constexpr Millis noReplyPause = Millis(250);
    /** Questions that a request asks ahead, for later ones. */
    static constexpr int maxPrefetched = 2;
    static constexpr Millis expireInterval = Millis(1000);
    /** How often another instance is told what is known here. */
    static constexpr Millis antiEntropyInterval = Millis(1000);

    using Completion = std::function<void(const CreditAnswer &answer)>;

    LimitExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock,
                  RandomHook random);
    LimitExchange(const LimitExchange &) = delete;
    LimitExchange &operator=(const LimitExchange &) = delete;

    /** Tells whether a link is ready; may be left out. Others are not told of limits by turns. */
    void setLinkCheck(std::function<bool(const PeerAddress &)> isLinked)
    {
        peers_.isLinked = std::move(isLinked);
    }

    /** There are no other instances to ask. */
    void setAlone() { quotas_.setAlone(); }
    /** All instances, this one first; with an address where they take links. */
    void setPeers(const std::vector<KeeperCandidate> &peers);
    /** The part of all instances, 0 to 1, with which this one is linked. */
    void setReach(double share) { quotas_.setReach(share); }

    /** An answer of the upstream stated a limit, or none. Returns how that compares. */
    LimitChange heard(UpstreamLife incarnation, std::optional<double> perSecond);
    /** Whether any upstream is limited; else nothing needs to be asked. */
    bool hasLimits() const { return table_.hasLimits(); }
    /** Whether a request may go there now: all may, or a credit is in hand. */
    bool mayUse(UpstreamLife incarnation) const;
    /**
        Returns when a limited upstream whose credit was refused a moment ago may have room; nothing
        for any other one.
    */
    std::optional<Millis> roomAfter(UpstreamLife incarnation) const;
    bool isExhausted(UpstreamLife incarnation) const { return roomAfter(incarnation).has_value(); }
    /** Asks for credits of a few of these, for later requests. */
    void askAhead(const std::vector<UpstreamLife> &incarnations);
    /** Asks for a credit. The completion is called once, perhaps before this returns. */
    void ask(UpstreamLife incarnation, Completion done);
    /** A request goes there now. */
    void use(UpstreamLife incarnation);

    /** A frame came from another instance. Returns false if it is no message about limits. */
    bool received(const PeerAddress &from, const std::string &frame);
    /** Does what is due; to be called every few milliseconds. */
    void tick();
    /** Forgets open questions without calling anybody; for the end of the process. */
    void dropQuestions();

    const LimitStats &stats() const { return stats_; }
    const LimitTable &table() const { return table_; }

private:
    struct Credit
    {
        QuotaGrant grant;
        bool isAvailable = false;
        bool isRequested = false;
        /** Until when a held credit may be used, or a refused one is not asked for again. */
        Millis expiresAt;
        std::vector<Completion> waiting;
    };

    LimitChange applyLimit(const StatedLimit &stated);
    void setQuotas();
    /** The limit is over; nobody needs to wait. */
    void dropCredit(UpstreamLife incarnation);
    void handleOutcome(UpstreamLife incarnation, const QuotaVerdict &outcome);
    void releaseUnused(Millis now);
    void announce();
    /** Tells one other instance: one that started lately knows nothing. */
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
    std::unordered_map<UpstreamLife, Credit> credits_;
    std::set<UpstreamLife> pendingAnnouncements_;
    Millis expireAt_;
    Millis antiEntropyAt_;
    LimitStats stats_;
};

} // namespace cuminrail

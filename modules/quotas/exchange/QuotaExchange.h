#pragma once

#include "core/time/Clock.h"
#include "keepers/ranking/KeeperRanking.h"
#include "quotas/book/QuotaBook.h"
#include "quotas/messages/QuotaMessages.h"

#include <functional>
#include <map>
#include <vector>

namespace cuminrail {

/** How a question about a customer's quota ended. */
enum class QuotaResult : std::uint8_t {
    Granted,
    /** The customer is over its quota. */
    Refused,
    /** No keeper answered. */
    Unknown,
};

inline constexpr NameTable<QuotaResult, 3> quotaResultNames{{{
    {QuotaResult::Granted, "granted"},
    {QuotaResult::Refused, "refused"},
    {QuotaResult::Unknown, "unknown"},
}}};

/** What was granted to a request; empty where nothing needs to be given back. */
struct QuotaGrant
{
    std::string customer;
    double cost = 0;
    /** Who granted it; empty for this instance. */
    PeerAddress keeper;

    bool isSet() const { return !customer.empty(); }
};

struct QuotaVerdict
{
    QuotaResult result = QuotaResult::Granted;
    QuotaGrant grant;
    /** @see QuotaOffer */
    std::optional<Millis> comeBackAfter;
    /** What the keeper said that the bucket holds. */
    double level = 0;
};

/** Counters since the start. */
struct QuotaExchangeStats
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t givenBack = 0;
    /** Requests that went on before their use was told to the keeper. */
    std::uint64_t unasked = 0;
    /** Questions that no keeper answered. */
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t framesSent = 0;
};

/**
    One instance's part in customers' quotas: it keeps some customers' buckets, and asks for the
    others.

    Load: requests so large that a customer's quota is some dozens of them in a window, spread over
    hundreds of instances by a balancer that knows no customers.

    A keeper that does not answer is passed over, and the next in order stands in for it: with a
    small bucket, at half of the rate at first, telling the usual keeper of each grant. Small
    requests go on unasked within a part of the tolerance, divided by the number of instances, and
    are charged afterwards.

    Belongs to one thread; nothing here waits.
*/
class QuotaExchange
{
public:
    /** A machine that used up its share of a processor answers later; a stand-in is nearer then. */
    static constexpr Millis answerTimeout = Millis(40);
    /** An instance that starts reads within this who the others are. */
    static constexpr Millis decidedWithin = Millis(400);
    /** A grant that arrives later than its question's end is given back within this. */
    static constexpr Millis lateAnswers = Millis::seconds(5);

    using Completion = std::function<void(const QuotaVerdict &verdict)>;

    QuotaExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock);

    void setQuotas(QuotaTable quotas) { book_.setQuotas(std::move(quotas), clock_.now()); }
    /** There are no other instances to ask. */
    void setAlone() { isDecided_ = true; }
    /**
        All instances, this one first; with an address where they take links. Until then nobody can
        tell who keeps what: questions wait a moment, then end as Unknown.
    */
    void setPeers(std::vector<KeeperCandidate> peers);
    /** The part of all instances, 0 to 1, with which this one is linked. */
    void setReach(double reach) { book_.setReach(reach); }
    /** Returns the customer's quota, or null. */
    const CustomerQuota *quota(const std::string &customer) const { return book_.quota(customer); }

    /**
        Asks whether a customer may use so much. The completion is called once: before this returns
        where nobody needs to be asked, else at the answer or at a tick() after the time-outs.
    */
    void ask(const std::string &customer, double cost, Completion done);
    /** The request was not run. Clears the grant. */
    void giveBack(QuotaGrant &grant);

    /** A frame came from another instance. Returns false if it is no message of a quota. */
    bool received(const PeerAddress &from, const std::string &frame);
    /** Forgets open questions without calling anybody; for the end of the process. */
    void dropQuestions();
    /** Ends questions whose time is over; to be called every few milliseconds. */
    void tick();

    const QuotaExchangeStats &stats() const { return stats_; }
    const QuotaBook &book() const { return book_; }

private:
    struct Pending
    {
        std::string customer;
        double cost = 0;
        Completion done;
        PeerAddress keeper;
        Millis until;
        bool isSecond = false;
    };
    struct Late
    {
        std::string customer;
        double cost = 0;
        Millis until;
    };

    void askDecided(const std::string &customer, double cost, const Completion &done);
    bool takeUnasked(const std::string &customer, const CustomerQuota &quota, double cost);
    void askKeeper(Pending pending);
    QuotaOffer takeHere(const std::string &customer, double cost);
    void finish(const Pending &pending, const QuotaOffer &offer, const PeerAddress &keeper);
    void finishUnknown(const Completion &done);
    void unanswered(std::uint64_t number);
    void charge(const PeerAddress &keeper, const QuotaCharge &charge);
    void send(const PeerAddress &to, const QuotaMessage &message);

    void on(const PeerAddress &from, const QuotaQuestion &question);
    void on(const PeerAddress &from, const QuotaAnswer &answer);
    void on(const PeerAddress &from, const QuotaCharge &charge);

    PeerTransport transport_;
    Clock clock_;
    KeeperRanking keepers_;
    QuotaBook book_;
    std::size_t instances_ = 1;
    bool isDecided_ = false;
    /** Questions that came before it was known who keeps what, in the order of their ends. */
    std::vector<Pending> undecided_;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, Late> late_;
    /** What may go on unasked, by customer. */
    std::unordered_map<std::string, TokenBucket> unasked_;
    std::uint64_t nextNumber_ = 1;
    QuotaExchangeStats stats_;
};

} // namespace cuminrail

#pragma once

#include "core/limits/TokenBucket.h"
#include "dataplane/model/CustomerQuota.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** Customers' quotas by name; customers without one are not in it. */
using QuotaTable = std::map<std::string, CustomerQuota>;

/** What a keeper says to a request. */
struct QuotaOffer
{
    bool isGranted = false;
    /** When the bucket will hold the request; not set for one that it never will. */
    std::optional<Millis> comeBackAfter;
    /** What the bucket holds after this, in the quota's unit; below zero while it is in debt. */
    double level = 0;
};

/**
    The buckets of the customers that one instance keeps.

    Load: a customer sends many times its quota, in requests of a hundred to ninety thousand tokens.
    A bucket that holds something grants a request of any size within a bounded debt, which is paid
    back before the next one. Long prompts are so refused as often as short ones; were a request to
    wait until the bucket holds all of it, short ones would drain it first for ever.

    A quota allows its rate and its burst in each window, and a tolerance above that. What a bucket
    holds at most, what it gains in a window and one debt stay together below this sum, so nothing
    that a window still allows is refused for long. Buckets that begin anew, and what instances use
    without having asked, have parts of the tolerance of their own.
*/
class QuotaBook
{
public:
    /** Parts of the tolerance. */
    static constexpr double depthShare = 0.1;
    static constexpr double debtShare = 0.3;
    /** A bucket that began anew within the window: the former one's debt is not paid back. */
    static constexpr double youngDebtShare = 0.05;
    static constexpr double freshShare = 0.05;
    static constexpr double unaskedShare = 0.1;
    /** Part of the burst that a bucket holds at once; it gains the rest in each window. */
    static constexpr double burstHeld = 0.25;
    /** A stand-in holds back for so long: the keeper that it stands in for may still grant. */
    static constexpr Millis standInHoldsBack = Millis(6000);
    static constexpr double heldBackRate = 0.5;
    /** With fewer of the instances in reach, others may have chosen another keeper. */
    static constexpr double fullReach = 0.8;
    /** Refused requests are told to come back one after another, up to so far ahead. */
    static constexpr Millis promisedMost = Millis::seconds(4);

    explicit QuotaBook(QuotaTolerance tolerance) : tolerance_(tolerance) { }

    /** Takes effect at once. Buckets of customers without a quota go. */
    void setQuotas(QuotaTable quotas, Millis now);
    /** The part of all instances, 0 to 1, with which this one is linked. */
    void setReach(double reach) { reach_ = reach; }
    /** Since when this instance keeps what it is asked for. */
    void setKeeperSince(Millis since) { keeperSince_ = since; }

    /** Returns the customer's quota, or null. */
    const CustomerQuota *quota(const std::string &customer) const;
    const QuotaTolerance &tolerance() const { return tolerance_; }

    /**
        Takes what a request costs, if the bucket has it.

        @param isStandIn  the customer's usual keeper was passed over
    */
    QuotaOffer take(const std::string &customer, double cost, bool isStandIn, Millis now);
    /** Takes what was used without a question; below zero, gives back what was not used. */
    void charge(const std::string &customer, double cost, bool isStandIn, Millis now);

    /** Returns what a customer's bucket holds, or nothing where none is kept. */
    std::optional<double> level(const std::string &customer, Millis now) const;
    std::size_t buckets() const { return buckets_.size(); }

private:
    struct Bucket
    {
        TokenBucket tokens;
        Millis since;
        /** What requests that were told to come back will take. */
        double promised = 0;
        Millis promisedAt;
    };

    Bucket &bucket(const std::string &customer, const CustomerQuota &quota, bool isStandIn,
                   Millis now);
    Millis comeBack(Bucket &bucket, const CustomerQuota &quota, double missing, Millis now) const;
    /** Returns whether the tolerance is too small to divide: a plain bucket keeps the quota then.
     */
    bool isExact(const CustomerQuota &quota) const;
    double depth(const CustomerQuota &quota) const;
    /** Returns what a bucket gains a second. */
    double gain(const CustomerQuota &quota) const;
    double mostDebt(const Bucket &bucket, const CustomerQuota &quota, Millis now) const;

    QuotaTolerance tolerance_;
    QuotaTable quotas_;
    std::unordered_map<std::string, Bucket> buckets_;
    double reach_ = 1;
    Millis keeperSince_;
};

} // namespace cuminrail

#pragma once

#include "core/limits/TokenBucket.h"
#include "dataplane/model/CustomerQuota.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** Quotas by customer name. Customers without a quota have no entry. */
using QuotaTable = std::map<std::string, CustomerQuota>;

/** An owner's decision on a request. */
struct QuotaDecision
{
    bool isGranted = false;
    /** When the bucket can cover the request; not set for a request that it can never cover. */
    std::optional<Millis> retryAfter;
    /** Bucket level after this decision, in the quota's unit; negative while it is in debt. */
    double level = 0;
};

/**
    Token buckets of the customers that one instance owns.

    Expected load: a customer sends many times its quota, in requests of a hundred to ninety
    thousand tokens. A bucket with a positive level grants a request of any size that leaves it
    within a bounded debt; the debt is refilled before the next grant. Long prompts are therefore
    refused no more often than short ones. If a request had to wait until the bucket covers its
    whole cost, short requests would keep draining the bucket and long ones would starve.

    In each window a quota allows its rate and its burst, plus a tolerance. Bucket depth, refill in
    one window and one debt together stay below this sum, so a request that the window still allows
    is not refused for long. New buckets, and use that instances grant locally without a query, have
    shares of the tolerance of their own.
*/
class QuotaLedger
{
public:
    /** Shares of the tolerance. */
    static constexpr double depthShare = 0.1;
    static constexpr double debtShare = 0.3;
    /** For a bucket created within the window: its predecessor's debt has not been paid back. */
    static constexpr double newBucketDebtShare = 0.05;
    static constexpr double initialShare = 0.05;
    static constexpr double localShare = 0.1;
    /** Share of the burst that counts into the bucket depth; the rest is refilled in each window.
     */
    static constexpr double burstDepthShare = 0.25;
    /** A substitute grants at a reduced rate for this long: the primary owner may still grant. */
    static constexpr Millis substitutePeriod = Millis(6000);
    static constexpr double substituteRateShare = 0.5;
    /** With links to fewer instances than this, others may have selected another owner. */
    static constexpr double minReachableShare = 0.8;
    /** Retry times of refused requests are staggered, up to this far ahead. */
    static constexpr Millis maxRetryBacklog = Millis::seconds(4);

    explicit QuotaLedger(QuotaTolerance tolerance) : tolerance_(tolerance) { }

    /** Takes effect at once. Removes buckets of customers without a quota. */
    void setQuotas(QuotaTable quotas, Millis now);
    /** Share of all instances, 0 to 1, to which this one has a link; takes effect at once. */
    void setReachableShare(double share, Millis now);
    /** When this instance became the owner of its present keys. */
    void setOwnershipStartedAt(Millis startedAt) { ownershipStartedAt_ = startedAt; }

    /** Returns the customer's quota, or null. */
    const CustomerQuota *quota(const std::string &customer) const;
    const QuotaTolerance &tolerance() const { return tolerance_; }

    /**
        Takes a request's cost from the bucket if the bucket can cover it.

        @param isSubstitute  the customer's primary owner is excluded and this instance replaces it
    */
    QuotaDecision take(const std::string &customer, double cost, bool isSubstitute, Millis now);
    /** Charges use that was not queried before; a negative cost returns an unused grant. */
    void charge(const std::string &customer, double cost, bool isSubstitute, Millis now);

    /** Returns the level of a customer's bucket, or nothing if there is no bucket. */
    std::optional<double> level(const std::string &customer, Millis now) const;
    std::size_t buckets() const { return buckets_.size(); }

private:
    struct Bucket
    {
        TokenBucket tokens;
        Millis startedAt;
        /** Share of the rate that is granted whatever this instance reaches. */
        double rateShare = 1;
        /** Cost of refused requests that were given a retry time and are expected to return. */
        double retryBacklog = 0;
        Millis retryBacklogAt;
    };

    /** Returns the share of the rate that is granted with the instances in reach. */
    double reachRateShare() const;
    void configure(Bucket &bucket, const CustomerQuota &quota, Millis now) const;
    Bucket &bucket(const std::string &customer, const CustomerQuota &quota, bool isSubstitute,
                   Millis now);
    Millis retryDelay(Bucket &bucket, const CustomerQuota &quota, double needed, Millis now) const;
    /** Returns whether the tolerance is too small to divide; a plain token bucket is used then. */
    bool isExact(const CustomerQuota &quota) const;
    double depth(const CustomerQuota &quota) const;
    /** Returns the refill per second. */
    double refillRate(const CustomerQuota &quota) const;
    double maxDebt(const Bucket &bucket, const CustomerQuota &quota, Millis now) const;

    QuotaTolerance tolerance_;
    QuotaTable quotas_;
    std::unordered_map<std::string, Bucket> buckets_;
    double reachableShare_ = 1;
    Millis ownershipStartedAt_;
};

} // namespace cuminrail

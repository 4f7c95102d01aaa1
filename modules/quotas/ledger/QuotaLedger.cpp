#include "quotas/ledger/QuotaLedger.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

void QuotaLedger::setQuotas(QuotaTable quotas, Millis now)
{
    quotas_ = std::move(quotas);
    for (auto it = buckets_.begin(); it != buckets_.end();) {
        const CustomerQuota *current = quota(it->first);
        if (current == nullptr) {
            it = buckets_.erase(it);
            continue;
        }
        configure(it->second, *current, now);
        ++it;
    }
}

const CustomerQuota *QuotaLedger::quota(const std::string &customer) const
{
    const auto found = quotas_.find(customer);
    return found == quotas_.end() ? nullptr : &found->second;
}

bool QuotaLedger::isExact(const CustomerQuota &quota) const
{
    return tolerance_.of(quota) < quota.burst;
}

double QuotaLedger::depth(const CustomerQuota &quota) const
{
    const double burstShare = isExact(quota) ? 1 : burstDepthShare;
    return burstShare * quota.burst + depthShare * tolerance_.of(quota);
}

double QuotaLedger::refillRate(const CustomerQuota &quota) const
{
    const double burstShare = isExact(quota) ? 1 : burstDepthShare;
    const double surplus =
        (1 - burstShare) * quota.burst + tolerance_.granted * tolerance_.of(quota);
    return quota.perSecond + surplus / tolerance_.window.toSeconds();
}

double QuotaLedger::maxDebt(const Bucket &bucket, const CustomerQuota &quota, Millis now) const
{
    const bool isRecent = now - bucket.startedAt < tolerance_.window;
    return (isRecent ? newBucketDebtShare : debtShare) * tolerance_.of(quota);
}

QuotaLedger::Bucket &QuotaLedger::bucket(const std::string &customer, const CustomerQuota &quota,
                                         bool isSubstitute, Millis now)
{
    const auto [entry, isNew] = buckets_.try_emplace(customer);
    Bucket &bucket = entry->second;
    if (isNew) {
        // Nothing has been granted from this bucket since this instance became the owner.
        bucket.startedAt = isSubstitute ? now : std::min(ownershipStartedAt_, now);
        bucket.tokens.configure(refillRate(quota), depth(quota), bucket.startedAt);
        const bool isSmall = guardEnabled(Guard::QuotaFreshStart);
        const double initial = isSmall ? initialShare * tolerance_.of(quota) : depth(quota);
        bucket.tokens.add(std::min(initial, depth(quota)));
    }
    const bool isThrottled = isSubstitute && now - bucket.startedAt < substitutePeriod
        && guardEnabled(Guard::QuotaStandInHoldsBack);
    bucket.rateShare = isThrottled ? substituteRateShare : 1;
    configure(bucket, quota, now);
    return bucket;
}

double QuotaLedger::reachRateShare() const
{
    const bool reachesAll =
        reachableShare_ >= minReachableShare || !guardEnabled(Guard::QuotaReachShare);
    return reachesAll ? 1 : reachableShare_;
}

void QuotaLedger::configure(Bucket &bucket, const CustomerQuota &quota, Millis now) const
{
    const double rateShare = std::min(bucket.rateShare, reachRateShare());
    bucket.tokens.configure(refillRate(quota) * rateShare, depth(quota), now);
}

void QuotaLedger::setReachableShare(double share, Millis now)
{
    const double before = reachRateShare();
    reachableShare_ = share;
    if (reachRateShare() == before)
        return;
    for (auto &[customer, bucket] : buckets_) {
        if (const CustomerQuota *current = quota(customer))
            configure(bucket, *current, now);
    }
}

QuotaDecision QuotaLedger::take(const std::string &customer, double cost, bool isSubstitute,
                                Millis now)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return {true, std::nullopt, 0};
    Bucket &entry = bucket(customer, *limit, isSubstitute, now);
    const double needed = std::max(0.0, cost - maxDebt(entry, *limit, now));
    const double available = entry.tokens.level(now);
    if (available > 0 && available >= needed) {
        entry.tokens.draw(cost);
        return {true, std::nullopt, available - cost};
    }
    QuotaDecision decision;
    decision.level = available;
    if (needed <= depth(*limit)) {
        decision.retryAfter = retryDelay(entry, *limit, needed, now);
        entry.retryBacklog += cost;
    }
    return decision;
}

Millis QuotaLedger::retryDelay(Bucket &bucket, const CustomerQuota &quota, double needed,
                               Millis now) const
{
    const double refilled = refillRate(quota) * (now - bucket.retryBacklogAt).toSeconds();
    const double maxBacklog = refillRate(quota) * maxRetryBacklog.toSeconds();
    bucket.retryBacklog = std::clamp(bucket.retryBacklog - refilled, 0.0, maxBacklog);
    bucket.retryBacklogAt = now;
    return bucket.tokens.wait(needed + bucket.retryBacklog, now);
}

void QuotaLedger::charge(const std::string &customer, double cost, bool isSubstitute, Millis now)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return;
    TokenBucket &tokens = bucket(customer, *limit, isSubstitute, now).tokens;
    const double room = depth(*limit) - tokens.level(now);
    tokens.draw(std::max(cost, -std::max(0.0, room)));
}

std::optional<double> QuotaLedger::level(const std::string &customer, Millis now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end())
        return std::nullopt;
    TokenBucket tokens = found->second.tokens;
    return tokens.level(now);
}

} // namespace cuminrail

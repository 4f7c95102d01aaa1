#include "quotas/book/QuotaBook.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

void QuotaBook::setQuotas(QuotaTable quotas, Millis now)
{
    quotas_ = std::move(quotas);
    for (auto it = buckets_.begin(); it != buckets_.end();) {
        const CustomerQuota *present = quota(it->first);
        if (present == nullptr) {
            it = buckets_.erase(it);
            continue;
        }
        it->second.tokens.configure(gain(*present), depth(*present), now);
        ++it;
    }
}

const CustomerQuota *QuotaBook::quota(const std::string &customer) const
{
    const auto found = quotas_.find(customer);
    return found == quotas_.end() ? nullptr : &found->second;
}

bool QuotaBook::isExact(const CustomerQuota &quota) const
{
    return tolerance_.of(quota) < quota.burst;
}

double QuotaBook::depth(const CustomerQuota &quota) const
{
    const double held = isExact(quota) ? 1 : burstHeld;
    return held * quota.burst + depthShare * tolerance_.of(quota);
}

double QuotaBook::gain(const CustomerQuota &quota) const
{
    const double held = isExact(quota) ? 1 : burstHeld;
    const double more = (1 - held) * quota.burst + tolerance_.granted * tolerance_.of(quota);
    return quota.perSecond + more / tolerance_.window.toSeconds();
}

double QuotaBook::mostDebt(const Bucket &bucket, const CustomerQuota &quota, Millis now) const
{
    const bool isYoung = now - bucket.since < tolerance_.window;
    return (isYoung ? youngDebtShare : debtShare) * tolerance_.of(quota);
}

QuotaBook::Bucket &QuotaBook::bucket(const std::string &customer, const CustomerQuota &quota,
                                     bool isStandIn, Millis now)
{
    const auto [entry, isNew] = buckets_.try_emplace(customer);
    Bucket &bucket = entry->second;
    if (isNew) {
        // Nobody was granted anything here since this instance became the keeper.
        bucket.since = isStandIn ? now : std::min(keeperSince_, now);
        bucket.tokens.configure(gain(quota), depth(quota), bucket.since);
        const bool isSmall = guardEnabled(Guard::QuotaFreshStart);
        const double held = isSmall ? freshShare * tolerance_.of(quota) : depth(quota);
        bucket.tokens.add(std::min(held, depth(quota)));
    }
    const bool holdsBack = isStandIn && now - bucket.since < standInHoldsBack
        && guardEnabled(Guard::QuotaStandInHoldsBack);
    const bool reachesAll = reach_ >= fullReach || !guardEnabled(Guard::QuotaReachShare);
    const double reachable = reachesAll ? 1 : reach_;
    const double part = std::min(holdsBack ? heldBackRate : 1, reachable);
    bucket.tokens.configure(gain(quota) * part, depth(quota), now);
    return bucket;
}

QuotaOffer QuotaBook::take(const std::string &customer, double cost, bool isStandIn, Millis now)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return {true, std::nullopt, 0};
    Bucket &kept = bucket(customer, *limit, isStandIn, now);
    const double needed = std::max(0.0, cost - mostDebt(kept, *limit, now));
    const double held = kept.tokens.level(now);
    if (held > 0 && held >= needed) {
        kept.tokens.draw(cost);
        return {true, std::nullopt, held - cost};
    }
    QuotaOffer offer;
    offer.level = held;
    if (needed <= depth(*limit)) {
        offer.comeBackAfter = comeBack(kept, *limit, needed, now);
        kept.promised += cost;
    }
    return offer;
}

Millis QuotaBook::comeBack(Bucket &bucket, const CustomerQuota &quota, double missing,
                           Millis now) const
{
    const double passed = gain(quota) * (now - bucket.promisedAt).toSeconds();
    const double most = gain(quota) * promisedMost.toSeconds();
    bucket.promised = std::clamp(bucket.promised - passed, 0.0, most);
    bucket.promisedAt = now;
    return bucket.tokens.wait(missing + bucket.promised, now);
}

void QuotaBook::charge(const std::string &customer, double cost, bool isStandIn, Millis now)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return;
    TokenBucket &tokens = bucket(customer, *limit, isStandIn, now).tokens;
    const double room = depth(*limit) - tokens.level(now);
    tokens.draw(std::max(cost, -std::max(0.0, room)));
}

std::optional<double> QuotaBook::level(const std::string &customer, Millis now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end())
        return std::nullopt;
    TokenBucket tokens = found->second.tokens;
    return tokens.level(now);
}

} // namespace cuminrail

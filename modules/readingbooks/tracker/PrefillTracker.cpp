#include "readingbooks/tracker/PrefillTracker.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Share of a response's lateness by which estimates are corrected, as single responses vary. */
constexpr double correctionWeight = 0.5;

double asNumber(Millis instant)
{
    return static_cast<double>(instant.count());
}

} // namespace

PrefillEstimate PrefillTracker::estimate(const PromptChain &chain, Millis now) const
{
    PrefillEstimate estimate;
    estimate.waitMillis = waitMillis(now);
    estimate.freshTokens = double(chain.tokens) - double(sentParts_.cachedTokens(chain));
    estimate.heldTokens = double(prefilledParts_.cachedTokens(chain));
    estimate.knowsParts = startedAt_ && now - *startedAt_ >= warmUpPeriod;
    estimate.isComplete = isComplete_;
    return estimate;
}

void PrefillTracker::add(const PrefillId &id, const PromptChain &chain, double freshTokens,
                         const PrefillRate &rate, Millis now)
{
    expireOld(now);
    // An entry duplicated in transit would otherwise count twice, but be cancelled only once.
    if (prefills_.count(id) > 0)
        return;
    if (!startedAt_)
        startedAt_ = now;
    const double missing = double(chain.tokens) - double(sentParts_.cachedTokens(chain));
    const double fresh = std::min(missing, freshTokens);
    sentParts_.remember(chain);
    const double millis = fresh / std::max(rate.tokensPerMilli, 1.0);
    const double freeAt = prefills_.empty() ? asNumber(now) : std::max(freeAt_, asNumber(now));
    freeAt_ = freeAt + millis;
    prefills_[id] = Prefill{millis, freeAt_, rate.fixedMillis, now, chain};
}

void PrefillTracker::complete(const PrefillId &id, Millis now)
{
    const auto found = prefills_.find(id);
    if (found == prefills_.end())
        return;
    const Prefill prefill = found->second;
    prefills_.erase(found);
    prefilledParts_.remember(prefill.chain);
    const double lateness = asNumber(now) - prefill.fixedMillis - prefill.endsAt;
    const double shift = correctionWeight * lateness;
    freeAt_ += shift;
    completedUpTo_ = std::max(completedUpTo_, prefill.endsAt) + shift;
    for (auto &[other, pending] : prefills_)
        pending.endsAt += shift;
}

void PrefillTracker::cancel(const PrefillId &id, Millis now)
{
    const auto found = prefills_.find(id);
    if (found == prefills_.end())
        return;
    const Prefill cancelled = found->second;
    prefills_.erase(found);
    const double remaining = std::clamp(cancelled.endsAt - asNumber(now), 0.0, cancelled.millis);
    freeAt_ -= remaining;
    for (auto &[other, prefill] : prefills_) {
        if (prefill.endsAt > cancelled.endsAt)
            prefill.endsAt -= remaining;
    }
}

double PrefillTracker::waitMillis(Millis now) const
{
    double maxLateness = 0;
    bool isAnyPending = false;
    for (const auto &[id, prefill] : prefills_) {
        if (prefill.endsAt <= completedUpTo_ || isExpired(prefill, now))
            continue;
        isAnyPending = true;
        maxLateness = std::max(maxLateness, asNumber(now) - prefill.fixedMillis - prefill.endsAt);
    }
    return isAnyPending ? std::max(0.0, freeAt_ - asNumber(now)) + maxLateness : 0;
}

bool PrefillTracker::isExpired(const Prefill &prefill, Millis now)
{
    return now - prefill.announcedAt > maxPrefillDuration;
}

void PrefillTracker::expireOld(Millis now)
{
    for (auto it = prefills_.begin(); it != prefills_.end();)
        it = isExpired(it->second, now) ? prefills_.erase(it) : std::next(it);
}

} // namespace cuminrail

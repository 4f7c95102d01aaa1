#include "routing/detail/Selection.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::detail {

namespace {

/** Prefill of a fully cached prompt still costs about this many uncached tokens. */
constexpr double minUncachedTokens = 16;
/** Weight of a second of decode time against a second of time to first token. */
constexpr double decodeTimeWeight = 0.1;
/** Seconds added when the predicted time between tokens exceeds its target. */
constexpr double tokenTargetPenalty = 1.0;
/** Cost of a second of prefill to the requests that arrive after this one. */
constexpr double prefillWeight = 1;
/** Cost of a second of prefill to the requests in decode at the same engine. */
constexpr double interferenceWeight = 0.5;
/** Share of the prefix assumed to be cached at its home engine when no hint says so. */
constexpr double assumedHomeShare = 0.3;
/**
    The longest prefix up to this length decides the home, so that prompts about the same document
    share one.
*/
constexpr std::uint32_t homePrefixTokens = 1024;
constexpr double secondsPerServiceRequest = 0.001;
/** Random draws allowed per sampled upstream, since some members may not be eligible. */
constexpr std::uint32_t drawsPerSample = 3;

double loadRelaxed(const std::atomic<std::int64_t> &value)
{
    return static_cast<double>(value.load(std::memory_order_relaxed));
}

double prefillRateOf(const UpstreamLoad &live, const RoutedUpstream &upstream)
{
    const double measured = loadRelaxed(live.prefillRate);
    return std::max(1.0, measured > 0 ? measured : upstream.prefillTokensPerSecond);
}

} // namespace

Selection::Selection(const RoutingRequest &request, const RoutingTable &table,
                     const LiveLoads &loads, const RouterOptions &options,
                     std::uint64_t preferenceSeed, Millis now)
    : request_(request), table_(table), pool_(table.pool(request.pool)), loads_(loads),
      options_(options), preferenceSeed_(preferenceSeed), now_(now)
{ }

void Selection::addHolders(const PrefixHolders &holders)
{
    for (std::size_t i = 0; i < holders.count; ++i) {
        const PrefixHolder &holder = holders.holders[i];
        if (holder.upstream < table_.upstreamCount())
            affinityCandidates_[affinityCount_++] = {
                holder.upstream, holder.tokens * holder.confidence, RoutingReason::PrefixHeld, {}};
    }
    if (request_.prefixes == nullptr || request_.prefixes->empty() || affinityCount_ > 1)
        return;
    // Without hints, consistent hashing makes all instances send the prefix to the same engines, so
    // that it is cached there once instead of everywhere.
    const PrefixPoint *point = &request_.prefixes->front();
    for (const PrefixPoint &next : *request_.prefixes) {
        if (next.tokens <= homePrefixTokens)
            point = &next;
    }
    for (std::uint64_t salt = 0; salt < 2; ++salt) {
        const UpstreamIndex home = pool_.home(mixHash(point->hash, salt));
        if (home != noIndex)
            affinityCandidates_[affinityCount_++] = {
                home, point->tokens * assumedHomeShare, RoutingReason::PrefixHome, {}};
    }
}

std::optional<RoutingChoice> Selection::run(const SelectionRules &rules, const RandomHook &random)
{
    rules_ = rules;
    candidateCount_ = 0;
    best_.reset();
    samplePools(random);
    computeMeans();
    addAffinityCandidates();
    evaluateSingleEngines();
    if (request_.kvTransfer)
        evaluateDisaggregated();
    if (best_) {
        best_->compared = static_cast<std::uint32_t>(candidateCount_);
        if (rules.ignoreEjections)
            best_->reason = RoutingReason::Panic;
    }
    return best_;
}

bool Selection::hasAdapter(const RoutedUpstream &upstream) const
{
    if (request_.adapter == noIndex)
        return true;
    return std::find(upstream.adapters.begin(), upstream.adapters.end(), request_.adapter)
        != upstream.adapters.end();
}

bool Selection::isEligible(UpstreamIndex index) const
{
    const RoutedUpstream &upstream = table_.upstream(index);
    if (!upstream.takesNewWork || !hasAdapter(upstream))
        return false;
    if (upstream.costClass == CostClass::Reclaimable && !isReclaimableAllowed())
        return false;
    if (!rules_.ignoreEjections
        && loads_.upstream(index).ejectedUntil.load(std::memory_order_relaxed) > now_.count())
        return false;
    const auto &tried = request_.tried;
    return rules_.ignoreTried || std::find(tried.begin(), tried.end(), index) == tried.end();
}

/**
    Reclaimable upstreams can be withdrawn a whole zone at once, which cuts off every response in
    progress there. A call that is not safe to repeat would then have an unknown outcome, and an
    interactive caller would wait twice. So only work that can be rerun before its deadline goes
    there, up to the team's share of reclaimable capacity.
*/
bool Selection::isReclaimableAllowed() const
{
    if (!guardEnabled(Guard::ReclaimableOnlyForRedoable))
        return true;
    if (!request_.repeatable || request_.customer == noIndex || pool_.isService)
        return false;
    const bool hasSlack = request_.priority == Priority::Batch
        || (request_.priority == Priority::Standard && request_.slack != Millis::never());
    if (!hasSlack || request_.slack < options_.reclaimableSlack)
        return false;
    const TeamIndex team = table_.teamOf(request_.customer);
    const TeamUsage &usage = loads_.team(team);
    const double cost = request_.promptTokens + request_.expectedOutputTokens;
    return loadRelaxed(usage.reclaimableTokens) + cost
        <= table_.reclaimableShareOf(team) * (loadRelaxed(usage.allTokens) + cost);
}

void Selection::addCandidate(const Candidate &candidate)
{
    for (std::size_t i = 0; i < candidateCount_; ++i) {
        if (candidates_[i].upstream == candidate.upstream) {
            if (candidate.cachedTokens > candidates_[i].cachedTokens)
                candidates_[i] = candidate;
            return;
        }
    }
    if (candidateCount_ < maxCandidates)
        candidates_[candidateCount_++] = candidate;
}

void Selection::sampleMembers(const PoolMembers &members, const RandomHook &random)
{
    if (members.empty())
        return;
    if (rules_.allMembers || members.all.size() <= options_.sampleSize) {
        const std::size_t start = random() % members.all.size();
        for (std::size_t i = 0; i < members.all.size(); ++i) {
            const UpstreamIndex index = members.all[(start + i) % members.all.size()];
            if (isEligible(index))
                addCandidate({index, 0, RoutingReason::LeastPredictedTime, {}});
        }
        return;
    }
    const bool hasLocalMembers =
        request_.domain < members.byDomain.size() && !members.byDomain[request_.domain].empty();
    std::uint32_t accepted = 0;
    for (std::uint32_t i = 0;
         i < options_.sampleSize * drawsPerSample && accepted < options_.sampleSize; ++i) {
        const auto &from =
            hasLocalMembers && i % 2 == 0 ? members.byDomain[request_.domain] : members.all;
        const UpstreamIndex index = from[random() % from.size()];
        if (!isEligible(index))
            continue;
        addCandidate({index, 0, RoutingReason::LeastPredictedTime, {}});
        ++accepted;
    }
}

void Selection::samplePools(const RandomHook &random)
{
    sampleMembers(pool_.mixed, random);
    sampleMembers(pool_.decode, random);
    if (request_.kvTransfer)
        sampleMembers(pool_.prefill, random);
}

void Selection::computeMeans()
{
    meanOthersRequests_ = 0;
    meanRequests_ = 0;
    if (candidateCount_ == 0)
        return;
    for (std::size_t i = 0; i < candidateCount_; ++i)
        meanOthersRequests_ += loadRelaxed(loads_.upstream(candidates_[i].upstream).othersRequests);
    meanOthersRequests_ /= static_cast<double>(candidateCount_);
    for (std::size_t i = 0; i < candidateCount_; ++i)
        meanRequests_ += (candidates_[i].load = estimateLoad(candidates_[i].upstream)).requests;
    meanRequests_ /= static_cast<double>(candidateCount_);
}

void Selection::addAffinityCandidates()
{
    for (std::size_t i = 0; i < affinityCount_; ++i) {
        if (!isEligible(affinityCandidates_[i].upstream))
            continue;
        affinityCandidates_[i].load = estimateLoad(affinityCandidates_[i].upstream);
        if (!exceedsAffinityBound(affinityCandidates_[i]))
            addCandidate(affinityCandidates_[i]);
    }
}

bool Selection::exceedsAffinityBound(const Candidate &candidate) const
{
    return candidate.load.requests > options_.affinityLoadBound * (meanRequests_ + 1);
}

/**
    Own requests in progress are known exactly; those of other instances only from a load report.

    If all instances trusted an old report alike, they would all choose the same upstream. The
    estimate therefore moves from the reported value to the mean of the sample as the report ages.
*/
LoadEstimate Selection::estimateLoad(UpstreamIndex index) const
{
    const UpstreamLoad &live = loads_.upstream(index);
    LoadEstimate view{loadRelaxed(live.requests), loadRelaxed(live.promptTokens)};
    const std::int64_t reportedAt = live.reportedAt.load(std::memory_order_relaxed);
    if (reportedAt < 0) {
        view.requests += meanOthersRequests_;
        return view;
    }
    const auto age = static_cast<double>(now_.count() - reportedAt);
    const double halfLife = static_cast<double>(options_.reportHalfLife.count());
    const double reportWeight = 1.0 / (1.0 + std::max(0.0, age) / halfLife);
    view.requests +=
        reportWeight * loadRelaxed(live.othersRequests) + (1 - reportWeight) * meanOthersRequests_;
    view.promptTokens += reportWeight * loadRelaxed(live.othersPromptTokens);
    return view;
}

/** Cost of an upstream apart from its load: recent failure, cost class, instance preference. */
double Selection::loadIndependentCost(UpstreamIndex index) const
{
    const UpstreamLoad &live = loads_.upstream(index);
    double cost = 0;
    const std::int64_t failedAt = live.lastFailureAt.load(std::memory_order_relaxed);
    // A dead engine has no load and would attract all retries until it is ejected.
    if (now_.count() - failedAt < options_.failureRetention.count())
        cost += options_.failurePenalty.toSeconds();
    if (table_.upstream(index).costClass == CostClass::Reclaimable)
        cost -= options_.reclaimableBonus.toSeconds();
    if (preferenceSeed_ != 0) {
        const std::uint64_t preference = mixHash(preferenceSeed_, index + 1) >> 11U;
        cost += static_cast<double>(preference) * 0x1.0p-53 * options_.preferenceSpread.toSeconds();
    }
    return cost;
}

Prediction Selection::predict(const Candidate &candidate, bool runsPrefill, bool runsDecode) const
{
    const RoutedUpstream &upstream = table_.upstream(candidate.upstream);
    const LoadEstimate &load = candidate.load;
    Prediction prediction;
    if (upstream.domain != request_.domain)
        prediction.firstToken += options_.crossDomainPenalty.toSeconds();
    if (upstream.slots == 0) {
        prediction.firstToken += load.requests * secondsPerServiceRequest;
        prediction.score = prediction.firstToken + loadIndependentCost(candidate.upstream);
        return prediction;
    }
    const double slots = upstream.slots;
    const double usedShare = load.requests / slots;
    const double tokenSeconds = slots / std::max(1.0, upstream.decodeTokensPerSecond);
    if (runsPrefill) {
        const double rate = prefillRateOf(loads_.upstream(candidate.upstream), upstream);
        const double uncached =
            std::max(minUncachedTokens, request_.promptTokens - candidate.cachedTokens);
        prediction.firstToken += (load.promptTokens + uncached) / rate;
        prediction.score += (prefillWeight + interferenceWeight * usedShare) * uncached / rate;
    }
    if (runsDecode) {
        const double excess = load.requests + 1 - slots;
        if (excess > 0)
            prediction.firstToken += excess / slots * request_.expectedOutputTokens * tokenSeconds;
        prediction.score +=
            decodeTimeWeight * usedShare * request_.expectedOutputTokens * tokenSeconds;
        if (usedShare * tokenSeconds > pool_.tokenTarget.toSeconds())
            prediction.score += tokenTargetPenalty;
    }
    prediction.score += prediction.firstToken + loadIndependentCost(candidate.upstream);
    return prediction;
}

void Selection::evaluateSingleEngines()
{
    const bool decodeMustPrefill =
        pool_.mixed.empty() && (pool_.prefill.empty() || !request_.kvTransfer);
    for (std::size_t i = 0; i < candidateCount_; ++i) {
        const Candidate &candidate = candidates_[i];
        const RoutedUpstream &upstream = table_.upstream(candidate.upstream);
        if (upstream.role == EngineRole::Prefill)
            continue;
        RoutingReason reason = candidate.reason;
        if (upstream.role == EngineRole::Decode) {
            const double usedShare = candidate.load.requests / std::max(1U, upstream.slots);
            if (!decodeMustPrefill && usedShare >= options_.decodeHeadroom)
                continue;
            reason = RoutingReason::PrefillOnDecode;
        }
        if (upstream.costClass == CostClass::Reclaimable)
            reason = RoutingReason::Reclaimable;
        updateBest(candidate, noIndex, predict(candidate, true, true), reason);
    }
}

/** Combines the best prefill and the best decode engine; adds the KV cache transfer time. */
void Selection::evaluateDisaggregated()
{
    const Candidate *bestPrefill = nullptr;
    const Candidate *bestDecode = nullptr;
    Prediction prefillPrediction;
    Prediction decodePrediction;
    for (std::size_t i = 0; i < candidateCount_; ++i) {
        const Candidate &candidate = candidates_[i];
        const EngineRole role = table_.upstream(candidate.upstream).role;
        if (role == EngineRole::Prefill) {
            const Prediction next = predict(candidate, true, false);
            if (bestPrefill == nullptr || next.score < prefillPrediction.score) {
                bestPrefill = &candidate;
                prefillPrediction = next;
            }
        } else if (role == EngineRole::Decode) {
            const Prediction next = predict(candidate, false, true);
            if (bestDecode == nullptr || next.score < decodePrediction.score) {
                bestDecode = &candidate;
                decodePrediction = next;
            }
        }
    }
    if (bestPrefill == nullptr || bestDecode == nullptr)
        return;
    const double transfer =
        request_.promptTokens * options_.kvBytesPerToken / options_.kvBytesPerSecond;
    Prediction combined;
    combined.firstToken = prefillPrediction.firstToken + decodePrediction.firstToken + transfer;
    combined.score = prefillPrediction.score + decodePrediction.score + transfer;
    Candidate chosen = *bestDecode;
    chosen.cachedTokens = bestPrefill->cachedTokens;
    updateBest(chosen, bestPrefill->upstream, combined, RoutingReason::Disaggregated);
}

void Selection::updateBest(const Candidate &candidate, UpstreamIndex prefill,
                           const Prediction &prediction, RoutingReason reason)
{
    if (best_ && prediction.score >= bestScore_)
        return;
    bestScore_ = prediction.score;
    RoutingChoice choice;
    choice.upstream = candidate.upstream;
    choice.prefill = prefill;
    choice.reason = reason;
    choice.cachedTokens = static_cast<std::uint32_t>(
        std::min(candidate.cachedTokens, static_cast<double>(request_.promptTokens)));
    choice.predictedFirstToken = Millis(static_cast<std::int64_t>(prediction.firstToken * 1000));
    const std::int64_t reportedAt =
        loads_.upstream(candidate.upstream).reportedAt.load(std::memory_order_relaxed);
    choice.reportAgeMs = reportedAt < 0 ? -1 : now_.count() - reportedAt;
    best_ = choice;
}

} // namespace cuminrail::detail

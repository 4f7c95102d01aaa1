#include "routing/detail/Selection.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::detail {

namespace {

/** Even a fully cached prompt costs something to read. */
constexpr double minimumUncached = 16;
/** Weight of a slower answer against a later first token. */
constexpr double answerTimeWeight = 0.1;
/** Added when the time between tokens is predicted above its target. */
constexpr double tokenTargetPenalty = 1.0;
/** How much a second of reading costs those who come later, whoever they are. */
constexpr double workWeight = 1;
/** How much a second of reading costs the answers being written at the same engine. */
constexpr double interferenceWeight = 0.5;
/** Share of a home's prefix taken as cached when no hint says so. */
constexpr double assumedHomeShare = 0.3;
/** Prefixes up to about this length decide the home, so that one document stays together. */
constexpr std::uint32_t homePrefixTokens = 1024;
constexpr double secondsPerServiceRequest = 0.001;
/** Tries for one sample, where many members may not be used. */
constexpr std::uint32_t triesPerSample = 3;

double loadRelaxed(const std::atomic<std::int64_t> &value)
{
    return static_cast<double>(value.load(std::memory_order_relaxed));
}

double prefillRateOf(const UpstreamLive &live, const RoutedUpstream &upstream)
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
            affinity_[affinityCount_++] = {
                holder.upstream, holder.tokens * holder.confidence, RoutingReason::PrefixHeld, {}};
    }
    if (request_.prefixes == nullptr || request_.prefixes->empty() || affinityCount_ > 1)
        return;
    // Where no hint says who has the prefix, all instances must still agree on where to build it.
    const PrefixPoint *point = &request_.prefixes->front();
    for (const PrefixPoint &next : *request_.prefixes) {
        if (next.tokens <= homePrefixTokens)
            point = &next;
    }
    for (std::uint64_t salt = 0; salt < 2; ++salt) {
        const UpstreamIndex home = pool_.home(mixHash(point->hash, salt));
        if (home != noIndex)
            affinity_[affinityCount_++] = {
                home, point->tokens * assumedHomeShare, RoutingReason::PrefixHome, {}};
    }
}

std::optional<RoutingChoice> Selection::run(const SelectionRules &rules, const RandomHook &random)
{
    rules_ = rules;
    count_ = 0;
    best_.reset();
    sampleAll(random);
    findMeans();
    addAffinity();
    compareSingles();
    if (request_.kvTransfer)
        compareDisaggregated();
    if (best_) {
        best_->compared = static_cast<std::uint32_t>(count_);
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

bool Selection::mayUse(UpstreamIndex index) const
{
    const RoutedUpstream &upstream = table_.upstream(index);
    if (!upstream.takesNewWork || !hasAdapter(upstream))
        return false;
    if (upstream.costClass == CostClass::Reclaimable && !mayUseReclaimable())
        return false;
    if (!rules_.ignoreEjections
        && loads_.upstream(index).ejectedUntil.load(std::memory_order_relaxed) > now_.count())
        return false;
    const auto &tried = request_.tried;
    return rules_.ignoreTried || std::find(tried.begin(), tried.end(), index) == tried.end();
}

/**
    A whole zone of reclaimable upstreams can vanish at once, with every answer being written
    there. A lodging would then have an unknown end, and a copyist at the desk would wait twice.
    So only work that can be redone in time goes there, and no more than the team's share.
*/
bool Selection::mayUseReclaimable() const
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
    const TeamWork &work = loads_.team(team);
    const double cost = request_.promptTokens + request_.expectedOutputTokens;
    return loadRelaxed(work.reclaimableTokens) + cost
        <= table_.reclaimableShareOf(team) * (loadRelaxed(work.allTokens) + cost);
}

void Selection::add(const Candidate &candidate)
{
    for (std::size_t i = 0; i < count_; ++i) {
        if (candidates_[i].upstream == candidate.upstream) {
            if (candidate.cachedTokens > candidates_[i].cachedTokens)
                candidates_[i] = candidate;
            return;
        }
    }
    if (count_ < maxCandidates)
        candidates_[count_++] = candidate;
}

void Selection::sample(const PoolMembers &members, const RandomHook &random)
{
    if (members.empty())
        return;
    if (rules_.everyMember || members.all.size() <= options_.samples) {
        const std::size_t start = random() % members.all.size();
        for (std::size_t i = 0; i < members.all.size(); ++i) {
            const UpstreamIndex index = members.all[(start + i) % members.all.size()];
            if (mayUse(index))
                add({index, 0, RoutingReason::LeastPredictedTime, {}});
        }
        return;
    }
    const bool hasLocal =
        request_.domain < members.byDomain.size() && !members.byDomain[request_.domain].empty();
    std::uint32_t taken = 0;
    for (std::uint32_t i = 0; i < options_.samples * triesPerSample && taken < options_.samples;
         ++i) {
        const auto &from = hasLocal && i % 2 == 0 ? members.byDomain[request_.domain] : members.all;
        const UpstreamIndex index = from[random() % from.size()];
        if (!mayUse(index))
            continue;
        add({index, 0, RoutingReason::LeastPredictedTime, {}});
        ++taken;
    }
}

void Selection::sampleAll(const RandomHook &random)
{
    sample(pool_.mixed, random);
    sample(pool_.decode, random);
    if (request_.kvTransfer)
        sample(pool_.prefill, random);
}

void Selection::findMeans()
{
    meanOthers_ = 0;
    meanRequests_ = 0;
    if (count_ == 0)
        return;
    for (std::size_t i = 0; i < count_; ++i)
        meanOthers_ += loadRelaxed(loads_.upstream(candidates_[i].upstream).othersRequests);
    meanOthers_ /= static_cast<double>(count_);
    for (std::size_t i = 0; i < count_; ++i)
        meanRequests_ += (candidates_[i].load = viewOf(candidates_[i].upstream)).requests;
    meanRequests_ /= static_cast<double>(count_);
}

void Selection::addAffinity()
{
    for (std::size_t i = 0; i < affinityCount_; ++i) {
        if (!mayUse(affinity_[i].upstream))
            continue;
        affinity_[i].load = viewOf(affinity_[i].upstream);
        if (!overAffinityBound(affinity_[i]))
            add(affinity_[i]);
    }
}

bool Selection::overAffinityBound(const Candidate &candidate) const
{
    return candidate.load.requests > options_.affinityLoadBound * (meanRequests_ + 1);
}

/**
    Own outstanding work is known exactly; what others sent is known from a report that ages.

    An old report says little, and if all instances believed it they would all choose the same
    upstream. It is therefore drawn towards the mean of the sample as it ages.
*/
LoadView Selection::viewOf(UpstreamIndex index) const
{
    const UpstreamLive &live = loads_.upstream(index);
    LoadView view{loadRelaxed(live.requests), loadRelaxed(live.promptTokens)};
    const std::int64_t reportedAt = live.reportedAt.load(std::memory_order_relaxed);
    if (reportedAt < 0) {
        view.requests += meanOthers_;
        return view;
    }
    const auto age = static_cast<double>(now_.count() - reportedAt);
    const double halfLife = static_cast<double>(options_.reportHalfLife.count());
    const double trust = 1.0 / (1.0 + std::max(0.0, age) / halfLife);
    view.requests += trust * loadRelaxed(live.othersRequests) + (1 - trust) * meanOthers_;
    view.promptTokens += trust * loadRelaxed(live.othersPromptTokens);
    return view;
}

/** What speaks against an upstream whatever its load: failures, cost class, preference. */
double Selection::standingCost(UpstreamIndex index) const
{
    const UpstreamLive &live = loads_.upstream(index);
    double cost = 0;
    const std::int64_t failedAt = live.failedAt.load(std::memory_order_relaxed);
    // Until it is ejected or answers again: a dead engine looks idle and would draw all retries.
    if (now_.count() - failedAt < options_.failureMemory.count())
        cost += options_.failureCost.toSeconds();
    if (table_.upstream(index).costClass == CostClass::Reclaimable)
        cost -= options_.reclaimableBonus.toSeconds();
    if (preferenceSeed_ != 0) {
        const std::uint64_t place = mixHash(preferenceSeed_, index + 1) >> 11U;
        cost += static_cast<double>(place) * 0x1.0p-53 * options_.preferenceSpread.toSeconds();
    }
    return cost;
}

Prediction Selection::predict(const Candidate &candidate, bool readsPrompt, bool writesAnswer) const
{
    const RoutedUpstream &upstream = table_.upstream(candidate.upstream);
    const LoadView &load = candidate.load;
    Prediction prediction;
    if (upstream.domain != request_.domain)
        prediction.firstToken += options_.otherDomainCost.toSeconds();
    if (upstream.slots == 0) {
        prediction.firstToken += load.requests * secondsPerServiceRequest;
        prediction.score = prediction.firstToken + standingCost(candidate.upstream);
        return prediction;
    }
    const double slots = upstream.slots;
    const double used = load.requests / slots;
    const double tokenSeconds = slots / std::max(1.0, upstream.decodeTokensPerSecond);
    if (readsPrompt) {
        const double rate = prefillRateOf(loads_.upstream(candidate.upstream), upstream);
        const double uncached =
            std::max(minimumUncached, request_.promptTokens - candidate.cachedTokens);
        prediction.firstToken += (load.promptTokens + uncached) / rate;
        prediction.score += (workWeight + interferenceWeight * used) * uncached / rate;
    }
    if (writesAnswer) {
        const double over = load.requests + 1 - slots;
        if (over > 0)
            prediction.firstToken += over / slots * request_.expectedOutputTokens * tokenSeconds;
        prediction.score += answerTimeWeight * used * request_.expectedOutputTokens * tokenSeconds;
        if (used * tokenSeconds > pool_.tokenTarget.toSeconds())
            prediction.score += tokenTargetPenalty;
    }
    prediction.score += prediction.firstToken + standingCost(candidate.upstream);
    return prediction;
}

void Selection::compareSingles()
{
    const bool decodeMustRead =
        pool_.mixed.empty() && (pool_.prefill.empty() || !request_.kvTransfer);
    for (std::size_t i = 0; i < count_; ++i) {
        const Candidate &candidate = candidates_[i];
        const RoutedUpstream &upstream = table_.upstream(candidate.upstream);
        if (upstream.role == EngineRole::Prefill)
            continue;
        RoutingReason reason = candidate.reason;
        if (upstream.role == EngineRole::Decode) {
            const double used = candidate.load.requests / std::max(1U, upstream.slots);
            if (!decodeMustRead && used >= options_.decodeHeadroom)
                continue;
            reason = RoutingReason::PrefillOnDecode;
        }
        if (upstream.costClass == CostClass::Reclaimable)
            reason = RoutingReason::Reclaimable;
        take(candidate, noIndex, predict(candidate, true, true), reason);
    }
}

/** The best reader and the best writer, with the time that moving the KV cache takes. */
void Selection::compareDisaggregated()
{
    const Candidate *reader = nullptr;
    const Candidate *writer = nullptr;
    Prediction reading;
    Prediction writing;
    for (std::size_t i = 0; i < count_; ++i) {
        const Candidate &candidate = candidates_[i];
        const EngineRole role = table_.upstream(candidate.upstream).role;
        if (role == EngineRole::Prefill) {
            const Prediction next = predict(candidate, true, false);
            if (reader == nullptr || next.score < reading.score) {
                reader = &candidate;
                reading = next;
            }
        } else if (role == EngineRole::Decode) {
            const Prediction next = predict(candidate, false, true);
            if (writer == nullptr || next.score < writing.score) {
                writer = &candidate;
                writing = next;
            }
        }
    }
    if (reader == nullptr || writer == nullptr)
        return;
    const double transfer =
        request_.promptTokens * options_.kvBytesPerToken / options_.kvBytesPerSecond;
    Prediction both;
    both.firstToken = reading.firstToken + writing.firstToken + transfer;
    both.score = reading.score + writing.score + transfer;
    Candidate chosen = *writer;
    chosen.cachedTokens = reader->cachedTokens;
    take(chosen, reader->upstream, both, RoutingReason::Disaggregated);
}

void Selection::take(const Candidate &candidate, UpstreamIndex prefill,
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

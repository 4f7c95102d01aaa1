#include "dataplane/placement/EnginePlacement.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** Returns true if an engine is a candidate for a stage; all but prefill engines are for decode. */
bool isCandidateFor(const UpstreamEntry &entry, EngineStage stage)
{
    if (stage == EngineStage::Prefill)
        return entry.stage == EngineStage::Prefill;
    return entry.stage != EngineStage::Prefill;
}

template<typename Candidates>
auto cheapest(const Candidates &candidates)
{
    return std::min_element(candidates.begin(), candidates.end(),
                            [](const auto &a, const auto &b) { return a.cost < b.cost; });
}

} // namespace

PrefillRateEstimator &EnginePlacement::rateOf(const UpstreamEntry &entry)
{
    return entry.stage == EngineStage::Prefill ? prefillRate_ : decodeRate_;
}

double EnginePlacement::crossDomainMillis(const UpstreamEntry &entry,
                                          const PlacementQuery &query) const
{
    if (entry.failureDomain == query.ownDomain)
        return 0;
    constexpr double headBytes = 600;
    const double kilobytes = (static_cast<double>(query.bodyBytes) + headBytes) / 1000.0;
    return weights_.domainMillisPerKilobyte * kilobytes;
}

double EnginePlacement::estimateFreshTokens(const EngineTracker &memory, const PromptChain &chain,
                                            std::size_t homeRank) const
{
    const double cachedTokens = memory.cachedTokens(chain);
    const double allTokens = chain.tokens;
    const double privateTokens = chain.links.empty() ? allTokens : chain.links.back().tokens;
    const double sharedTokens = std::max(0.0, allTokens - privateTokens - cachedTokens);
    const double confidence = homeRank == 0 ? weights_.homeConfidence
        : homeRank == 1                     ? weights_.secondHomeConfidence
                                            : 0.0;
    return std::max(0.0, allTokens - cachedTokens - confidence * sharedTokens);
}

/** An engine with its position in a prompt's ranking. */
struct EnginePlacement::RankedEngine
{
    std::uint64_t affinity = 0;
    const UpstreamPointer *engine = nullptr;
};

std::vector<EnginePlacement::RankedEngine>
EnginePlacement::rankByAffinity(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                                const PlacementQuery &query, const PromptChain &chain) const
{
    std::vector<RankedEngine> order;
    order.reserve(engines.size());
    const StableHash promptHash = StableHash().add(chain.sharedKey);
    for (const UpstreamPointer &engine : engines) {
        if (!isCandidateFor(engine->entry, stage))
            continue;
        if (query.tried != nullptr && query.tried->count(engine->entry.id) > 0)
            continue;
        const auto affinity = StableHash(promptHash).add(engine->idHash()).value();
        order.push_back({affinity, &engine});
    }
    return order;
}

std::vector<UpstreamPointer>
EnginePlacement::firstByAffinity(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                                 const PlacementQuery &query, const PromptChain &chain) const
{
    const auto maxCandidates = static_cast<std::size_t>(weights_.mostCandidates);
    std::vector<RankedEngine> order = rankByAffinity(engines, stage, query, chain);
    // Homes are common to all failure domains: with a ranking for each domain, the prefill of a
    // part would be executed in every one of them.
    const auto isBefore = [](const RankedEngine &a, const RankedEngine &b) {
        return a.affinity > b.affinity;
    };
    std::vector<UpstreamPointer> eligible;
    std::vector<UpstreamPointer> ejected;
    // Only the head of the ranking is needed, unless most of it is ejected.
    auto sortedEnd = order.begin();
    for (auto next = order.begin(); next != order.end() && eligible.size() < maxCandidates;
         ++next) {
        if (next == sortedEnd) {
            const auto remaining = static_cast<std::size_t>(std::distance(next, order.end()));
            sortedEnd += static_cast<std::ptrdiff_t>(std::min(remaining, 2 * maxCandidates));
            std::partial_sort(next, sortedEnd, order.end(), isBefore);
        }
        const bool isEjected = query.isEjected((*next->engine)->entry.id);
        (isEjected ? ejected : eligible).push_back(*next->engine);
    }
    if (eligible.empty() && stage != EngineStage::Prefill)
        return ejected;
    return eligible;
}

std::vector<EnginePlacement::Candidate>
EnginePlacement::evaluate(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                          const PlacementQuery &query, const PromptChain &chain)
{
    const std::vector<UpstreamPointer> eligible = firstByAffinity(engines, stage, query, chain);
    std::vector<Candidate> candidates;
    candidates.reserve(eligible.size());
    for (std::size_t rank = 0; rank < eligible.size(); ++rank) {
        const UpstreamEntry &entry = eligible[rank]->entry;
        const EngineTracker &tracker = trackerOf(entry.id);
        const auto estimate = query.offer ? query.offer(entry.id) : std::nullopt;
        double freshTokens = estimateFreshTokens(tracker, chain, rank);
        if (estimate)
            freshTokens = estimate->knowsParts ? estimate->freshTokens
                                               : std::min(freshTokens, estimate->freshTokens);
        // A part that is sent to its home will be found there by later prompts, so the cost counts
        // it as cached even before its first prefill. The response time must include that prefill.
        const double prefillTokens =
            estimate && estimate->isComplete ? estimate->freshTokens : freshTokens;
        Candidate candidate{eligible[rank], freshTokens, prefillTokens, 0, 0, nullptr, 0};
        const double rate = rateOf(entry).tokensPerMilli();
        candidate.waitMillis =
            estimate ? estimate->waitMillis : tracker.waitMillis(rate, query.now);
        candidate.cost = candidate.waitMillis + weights_.readWeight * candidate.freshTokens / rate
            + weights_.millisPerRunning * tracker.running()
            + weights_.millisPerBadShare * query.badShare(entry.id)
            + crossDomainMillis(entry, query);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::optional<EngineChoice> EnginePlacement::choose(const std::vector<UpstreamPointer> &engines,
                                                    const PlacementQuery &query)
{
    const PromptChain chain = PromptChain::of(*query.prompt);
    const auto decodeCandidates = evaluate(engines, EngineStage::Decode, query, chain);
    if (decodeCandidates.empty())
        return std::nullopt;
    const auto local = cheapest(decodeCandidates);
    EngineChoice choice{local->engine, nullptr, nullptr, local->prefillTokens, local->cost};
    setEstimates(choice, local->waitMillis);
    if (!query.allowsHandOver || local->freshTokens < weights_.leastHandOverTokens)
        return choice;
    auto prefillCandidates = evaluate(engines, EngineStage::Prefill, query, chain);
    if (prefillCandidates.empty())
        return choice;
    considerPrefixFetch(prefillCandidates, query, chain);
    const auto prefill = cheapest(prefillCandidates);
    const UpstreamPointer decodeEngine = leastLoadedDecodeEngine(decodeCandidates, query);
    const double disaggregatedMillis = prefill->cost + weights_.handOverMillis
        + crossDomainMillis(decodeEngine->entry, query)
        + weights_.transferMillisPerToken * chain.tokens
        + weights_.millisPerRunning * trackerOf(decodeEngine->entry.id).running();
    const double maxMillis = weights_.ownReadFactor * local->cost + weights_.ownReadMillis;
    if (disaggregatedMillis >= maxMillis)
        return choice;
    EngineChoice disaggregated{decodeEngine, prefill->engine, prefill->prefixFrom,
                               prefill->prefillTokens, disaggregatedMillis};
    setEstimates(disaggregated, prefill->waitMillis);
    disaggregated.firstEventMillis += prefill->fetchMillis;
    return disaggregated;
}

void EnginePlacement::considerPrefixFetch(std::vector<Candidate> &candidates,
                                          const PlacementQuery &query, const PromptChain &chain)
{
    if (!query.offer)
        return;
    const Candidate *holder = nullptr;
    double cachedTokens = 0;
    for (const Candidate &candidate : candidates) {
        const auto estimate = query.offer(candidate.engine->entry.id);
        if (!estimate || estimate->heldTokens <= cachedTokens)
            continue;
        holder = &candidate;
        cachedTokens = estimate->heldTokens;
    }
    if (holder == nullptr)
        return;
    const UpstreamPointer source = holder->engine;
    for (Candidate &candidate : candidates) {
        const double missing = cachedTokens - (chain.tokens - candidate.freshTokens);
        if (candidate.engine == source || missing < weights_.leastFetchTokens)
            continue;
        const double rate = rateOf(candidate.engine->entry).tokensPerMilli();
        const double fetchMillis = weights_.fetchMillis + weights_.fetchMillisPerToken * missing;
        const double savedMillis = weights_.readWeight * missing / rate - fetchMillis;
        if (savedMillis <= 0)
            continue;
        candidate.prefixFrom = source;
        candidate.fetchMillis = fetchMillis;
        candidate.freshTokens = std::max(0.0, candidate.freshTokens - missing);
        candidate.prefillTokens = std::min(candidate.prefillTokens, chain.tokens - cachedTokens);
        candidate.cost -= savedMillis;
    }
}

void EnginePlacement::setEstimates(EngineChoice &choice, double waitMillis)
{
    const UpstreamPointer &prefillEngine = choice.prefill ? choice.prefill : choice.engine;
    choice.waitMillis = waitMillis;
    choice.firstEventMillis = waitMillis + rateOf(prefillEngine->entry).fixedMillis()
        + choice.freshTokens / rateOf(prefillEngine->entry).tokensPerMilli()
        + (choice.prefill ? weights_.handOverMillis : 0);
}

std::vector<UpstreamPointer>
EnginePlacement::rankPrefillEngines(const std::vector<UpstreamPointer> &engines,
                                    const PlacementQuery &query, std::size_t maxCount)
{
    auto candidates =
        evaluate(engines, EngineStage::Prefill, query, PromptChain::of(*query.prompt));
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    std::vector<UpstreamPointer> cheapestEngines;
    for (std::size_t i = 0; i < std::min(maxCount, candidates.size()); ++i)
        cheapestEngines.push_back(candidates[i].engine);
    return cheapestEngines;
}

UpstreamPointer EnginePlacement::leastLoadedDecodeEngine(const std::vector<Candidate> &candidates,
                                                         const PlacementQuery &query)
{
    // The decode engine only fetches the KV cache, so its present load matters most.
    const auto load = [&](const Candidate &candidate) {
        const UpstreamEntry &entry = candidate.engine->entry;
        const double rate = rateOf(entry).tokensPerMilli();
        return trackerOf(entry.id).running() * weights_.millisPerRunning
            + trackerOf(entry.id).waitMillis(rate, query.now)
            + weights_.millisPerBadShare * query.badShare(entry.id)
            + crossDomainMillis(entry, query)
            + weights_.transferMillisPerToken * candidate.freshTokens;
    };
    const auto least =
        std::min_element(candidates.begin(), candidates.end(),
                         [&](const Candidate &a, const Candidate &b) { return load(a) < load(b); });
    return least == candidates.end() ? nullptr : least->engine;
}

UpstreamPointer EnginePlacement::chooseDecodeEngine(const std::vector<UpstreamPointer> &engines,
                                                    const PlacementQuery &query)
{
    return leastLoadedDecodeEngine(
        evaluate(engines, EngineStage::Decode, query, PromptChain::of(*query.prompt)), query);
}

void EnginePlacement::moved(EngineChoice &choice, const UpstreamPointer &engine, Millis now)
{
    EngineTracker &previous = trackerOf(choice.engine->entry.id);
    previous.responseAbandoned(choice.decodeResponseId, now);
    previous.requestFinished(0, true);
    choice.engine = engine;
    choice.decodeResponseId = 0;
    trackerOf(engine->entry.id).requestSent(0);
}

void EnginePlacement::dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now)
{
    const PromptChain chain = PromptChain::of(prompt);
    const UpstreamPointer &prefillEngine = choice.prefill ? choice.prefill : choice.engine;
    EngineTracker &prefillTracker = trackerOf(prefillEngine->entry.id);
    prefillTracker.requestSent(choice.freshTokens);
    const double rate = rateOf(prefillEngine->entry).tokensPerMilli();
    choice.prefillResponseId = nextResponseId_++;
    prefillTracker.expectResponse(
        choice.prefillResponseId,
        rateOf(prefillEngine->entry).fixedMillis() + prefillTracker.openTokens() / rate, now);
    prefillTracker.remember(chain);
    if (choice.prefill)
        trackerOf(choice.engine->entry.id).requestSent(0);
    trackerOf(choice.engine->entry.id).remember(chain);
}

void EnginePlacement::promptRead(EngineChoice &choice, Millis sentAt, Millis now)
{
    const UpstreamPointer &prefillEngine = choice.prefill ? choice.prefill : choice.engine;
    // Fetching a prefix is not prefill; counted as such, it would make engines look slow.
    if (!choice.prefixFrom)
        rateOf(prefillEngine->entry).addSample(choice.freshTokens, now - sentAt);
    trackerOf(prefillEngine->entry.id).prefillCompleted(choice.freshTokens);
    trackerOf(prefillEngine->entry.id)
        .responseArrived(std::exchange(choice.prefillResponseId, 0), now);
}

void EnginePlacement::handedOver(EngineChoice &choice, const PromptShape &prompt, Millis now)
{
    const double transfer = weights_.transferMillisPerToken * prompt.inputTokens;
    choice.decodeResponseId = nextResponseId_++;
    trackerOf(choice.engine->entry.id)
        .expectResponse(choice.decodeResponseId,
                        rateOf(choice.engine->entry).fixedMillis() + transfer, now);
}

void EnginePlacement::runBegan(EngineChoice &choice, Millis now)
{
    trackerOf(choice.engine->entry.id)
        .responseArrived(std::exchange(choice.decodeResponseId, 0), now);
}

void EnginePlacement::finished(EngineChoice &choice, bool wasPrefilled, Millis now)
{
    EngineTracker &decodeTracker = trackerOf(choice.engine->entry.id);
    decodeTracker.responseAbandoned(std::exchange(choice.decodeResponseId, 0), now);
    const UpstreamPointer &prefillEngine = choice.prefill ? choice.prefill : choice.engine;
    trackerOf(prefillEngine->entry.id)
        .responseAbandoned(std::exchange(choice.prefillResponseId, 0), now);
    trackerOf(prefillEngine->entry.id).requestFinished(choice.freshTokens, wasPrefilled);
    if (choice.prefill)
        decodeTracker.requestFinished(0, true);
}

const EngineTracker *EnginePlacement::memory(const std::string &id) const
{
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second;
}

} // namespace cuminrail

#include "dataplane/placement/EnginePlacement.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** A reader of prompts; a decode engine reads too. */
bool takesStage(const UpstreamEntry &entry, EngineStage stage)
{
    if (stage == EngineStage::Prefill)
        return entry.stage == EngineStage::Prefill;
    return entry.stage != EngineStage::Prefill;
}

template<typename Candidates>
auto cheapest(const Candidates &candidates)
{
    return std::min_element(candidates.begin(), candidates.end(),
                            [](const auto &a, const auto &b) { return a.millis < b.millis; });
}

} // namespace

ReadingRate &EnginePlacement::rateOf(const UpstreamEntry &entry)
{
    return entry.stage == EngineStage::Prefill ? prefillRate_ : decodeRate_;
}

double EnginePlacement::detour(const UpstreamEntry &entry, const PlacementQuery &query) const
{
    if (entry.failureDomain == query.ownDomain)
        return 0;
    constexpr double headBytes = 600;
    const double kilobytes = (static_cast<double>(query.bodyBytes) + headBytes) / 1000.0;
    return weights_.domainMillisPerKilobyte * kilobytes;
}

double EnginePlacement::expectedFresh(const EngineMemory &memory, const PromptChain &chain,
                                      std::size_t homeRank) const
{
    const double cached = memory.cachedTokens(chain);
    const double all = chain.tokens;
    const double own = chain.links.empty() ? all : chain.links.back().tokens;
    const double shared = std::max(0.0, all - own - cached);
    const double confidence = homeRank == 0 ? weights_.homeConfidence
        : homeRank == 1                     ? weights_.secondHomeConfidence
                                            : 0.0;
    return std::max(0.0, all - cached - confidence * shared);
}

/** An engine with its place in a prompt's order. */
struct EnginePlacement::Ranked
{
    std::uint64_t affinity = 0;
    const UpstreamPointer *engine = nullptr;
};

std::vector<EnginePlacement::Ranked>
EnginePlacement::ranked(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                        const PlacementQuery &query, const PromptChain &chain) const
{
    std::vector<Ranked> order;
    order.reserve(engines.size());
    for (const UpstreamPointer &engine : engines) {
        if (!takesStage(engine->entry, stage))
            continue;
        if (query.tried != nullptr && query.tried->count(engine->entry.id) > 0)
            continue;
        const auto affinity = StableHash().add(chain.sharedKey).add(engine->idHash()).value();
        order.push_back({affinity, &engine});
    }
    // Homes are the same for all failure domains: ranked within each domain, a part would be read
    // once in every one of them.
    std::sort(order.begin(), order.end(),
              [](const Ranked &a, const Ranked &b) { return a.affinity > b.affinity; });
    return order;
}

std::vector<EnginePlacement::Candidate>
EnginePlacement::rate(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                      const PlacementQuery &query, const PromptChain &chain)
{
    const auto most = static_cast<std::size_t>(weights_.mostCandidates);
    std::vector<UpstreamPointer> fitting;
    std::vector<UpstreamPointer> setAside;
    for (const Ranked &next : ranked(engines, stage, query, chain)) {
        if (fitting.size() >= most)
            break;
        const bool isAside = query.isSetAside((*next.engine)->entry.id);
        (isAside ? setAside : fitting).push_back(*next.engine);
    }
    if (fitting.empty() && stage != EngineStage::Prefill)
        fitting = std::move(setAside);
    std::vector<Candidate> candidates;
    candidates.reserve(fitting.size());
    for (std::size_t rank = 0; rank < fitting.size(); ++rank) {
        const UpstreamEntry &entry = fitting[rank]->entry;
        const EngineMemory &memory = state(entry.id);
        const auto offer = query.offer ? query.offer(entry.id) : std::nullopt;
        double fresh = expectedFresh(memory, chain, rank);
        if (offer)
            fresh = offer->knowsParts ? offer->freshTokens : std::min(fresh, offer->freshTokens);
        // What goes to its home is found there by others, also while nobody has read it; how long
        // it takes is another matter.
        const double toRead = offer && offer->isComplete ? offer->freshTokens : fresh;
        Candidate candidate{fitting[rank], fresh, toRead, 0, 0, nullptr, 0};
        const double rate = rateOf(entry).tokensPerMilli();
        candidate.waitMillis = offer ? offer->waitMillis : memory.waitMillis(rate, query.now);
        candidate.millis = candidate.waitMillis + weights_.readWeight * candidate.fresh / rate
            + weights_.millisPerRunning * memory.running()
            + weights_.millisPerBadShare * query.badShare(entry.id) + detour(entry, query);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::optional<EngineChoice> EnginePlacement::choose(const std::vector<UpstreamPointer> &engines,
                                                    const PlacementQuery &query)
{
    const PromptChain chain = PromptChain::of(*query.prompt);
    const auto readers = rate(engines, EngineStage::Decode, query, chain);
    if (readers.empty())
        return std::nullopt;
    const auto reader = cheapest(readers);
    EngineChoice choice{reader->engine, nullptr, nullptr, reader->toRead, reader->millis};
    estimate(choice, reader->waitMillis);
    if (!query.allowsHandOver || reader->fresh < weights_.leastHandOverTokens)
        return choice;
    auto prefills = rate(engines, EngineStage::Prefill, query, chain);
    if (prefills.empty())
        return choice;
    offerFetching(prefills, query, chain);
    const auto prefill = cheapest(prefills);
    const UpstreamPointer runner = leastBusy(readers, query);
    const double split = prefill->millis + weights_.handOverMillis + detour(runner->entry, query)
        + weights_.transferMillisPerToken * chain.tokens
        + weights_.millisPerRunning * state(runner->entry.id).running();
    const double bearable = weights_.ownReadFactor * reader->millis + weights_.ownReadMillis;
    if (split >= bearable)
        return choice;
    EngineChoice apart{runner, prefill->engine, prefill->prefixFrom, prefill->toRead, split};
    estimate(apart, prefill->waitMillis);
    apart.firstEventMillis += prefill->fetchMillis;
    return apart;
}

void EnginePlacement::offerFetching(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                    const PromptChain &chain)
{
    if (!query.offer)
        return;
    const Candidate *holder = nullptr;
    double held = 0;
    for (const Candidate &candidate : candidates) {
        const auto offer = query.offer(candidate.engine->entry.id);
        if (!offer || offer->heldTokens <= held)
            continue;
        holder = &candidate;
        held = offer->heldTokens;
    }
    if (holder == nullptr)
        return;
    const UpstreamPointer source = holder->engine;
    for (Candidate &candidate : candidates) {
        const double missing = held - (chain.tokens - candidate.fresh);
        if (candidate.engine == source || missing < weights_.leastFetchTokens)
            continue;
        const double rate = rateOf(candidate.engine->entry).tokensPerMilli();
        const double fetching = weights_.fetchMillis + weights_.fetchMillisPerToken * missing;
        const double saved = weights_.readWeight * missing / rate - fetching;
        if (saved <= 0)
            continue;
        candidate.prefixFrom = source;
        candidate.fetchMillis = fetching;
        candidate.fresh = std::max(0.0, candidate.fresh - missing);
        candidate.toRead = std::min(candidate.toRead, chain.tokens - held);
        candidate.millis -= saved;
    }
}

void EnginePlacement::estimate(EngineChoice &choice, double waitMillis)
{
    const UpstreamPointer &reader = choice.prefill ? choice.prefill : choice.engine;
    choice.waitMillis = waitMillis;
    choice.firstEventMillis = waitMillis + rateOf(reader->entry).fixedMillis()
        + choice.freshTokens / rateOf(reader->entry).tokensPerMilli()
        + (choice.prefill ? weights_.handOverMillis : 0);
}

std::vector<UpstreamPointer>
EnginePlacement::likelyReaders(const std::vector<UpstreamPointer> &engines,
                               const PlacementQuery &query, std::size_t most)
{
    auto readers = rate(engines, EngineStage::Prefill, query, PromptChain::of(*query.prompt));
    std::sort(readers.begin(), readers.end(),
              [](const Candidate &a, const Candidate &b) { return a.millis < b.millis; });
    std::vector<UpstreamPointer> likely;
    for (std::size_t i = 0; i < std::min(most, readers.size()); ++i)
        likely.push_back(readers[i].engine);
    return likely;
}

UpstreamPointer EnginePlacement::leastBusy(const std::vector<Candidate> &readers,
                                           const PlacementQuery &query)
{
    // A generating engine that only fetches: what matters is how much it runs already.
    const auto load = [&](const Candidate &candidate) {
        const UpstreamEntry &entry = candidate.engine->entry;
        const double rate = rateOf(entry).tokensPerMilli();
        return state(entry.id).running() * weights_.millisPerRunning
            + state(entry.id).waitMillis(rate, query.now)
            + weights_.millisPerBadShare * query.badShare(entry.id) + detour(entry, query)
            + weights_.transferMillisPerToken * candidate.fresh;
    };
    const auto least =
        std::min_element(readers.begin(), readers.end(),
                         [&](const Candidate &a, const Candidate &b) { return load(a) < load(b); });
    return least == readers.end() ? nullptr : least->engine;
}

UpstreamPointer EnginePlacement::chooseRunner(const std::vector<UpstreamPointer> &engines,
                                              const PlacementQuery &query)
{
    return leastBusy(rate(engines, EngineStage::Decode, query, PromptChain::of(*query.prompt)),
                     query);
}

void EnginePlacement::moved(EngineChoice &choice, const UpstreamPointer &engine, Millis now)
{
    EngineMemory &former = state(choice.engine->entry.id);
    former.gaveUp(choice.runTicket, now);
    former.finish(0, true);
    choice.engine = engine;
    choice.runTicket = 0;
    state(engine->entry.id).start(0);
}

void EnginePlacement::dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now)
{
    const PromptChain chain = PromptChain::of(prompt);
    const UpstreamPointer &reader = choice.prefill ? choice.prefill : choice.engine;
    EngineMemory &reading = state(reader->entry.id);
    reading.start(choice.freshTokens);
    const double rate = rateOf(reader->entry).tokensPerMilli();
    choice.readTicket = nextTicket_++;
    reading.expect(choice.readTicket,
                   rateOf(reader->entry).fixedMillis() + reading.openTokens() / rate, now);
    reading.remember(chain);
    if (choice.prefill)
        state(choice.engine->entry.id).start(0);
    state(choice.engine->entry.id).remember(chain);
}

void EnginePlacement::promptRead(EngineChoice &choice, Millis sentAt, Millis now)
{
    const UpstreamPointer &reader = choice.prefill ? choice.prefill : choice.engine;
    // Fetching is no reading, and would make engines look slow.
    if (!choice.prefixFrom)
        rateOf(reader->entry).sample(choice.freshTokens, now - sentAt);
    state(reader->entry.id).read(choice.freshTokens);
    state(reader->entry.id).answered(std::exchange(choice.readTicket, 0), now);
}

void EnginePlacement::handedOver(EngineChoice &choice, const PromptShape &prompt, Millis now)
{
    const double transfer = weights_.transferMillisPerToken * prompt.inputTokens;
    choice.runTicket = nextTicket_++;
    state(choice.engine->entry.id)
        .expect(choice.runTicket, rateOf(choice.engine->entry).fixedMillis() + transfer, now);
}

void EnginePlacement::runBegan(EngineChoice &choice, Millis now)
{
    state(choice.engine->entry.id).answered(std::exchange(choice.runTicket, 0), now);
}

void EnginePlacement::finished(EngineChoice &choice, bool wasRead, Millis now)
{
    EngineMemory &generating = state(choice.engine->entry.id);
    generating.gaveUp(std::exchange(choice.runTicket, 0), now);
    const UpstreamPointer &reader = choice.prefill ? choice.prefill : choice.engine;
    state(reader->entry.id).gaveUp(std::exchange(choice.readTicket, 0), now);
    state(reader->entry.id).finish(choice.freshTokens, wasRead);
    if (choice.prefill)
        generating.finish(0, true);
}

const EngineMemory *EnginePlacement::memory(const std::string &id) const
{
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second;
}

} // namespace cuminrail

#include "routing/Router.h"

#include "routing/detail/Selection.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr std::int64_t minUncachedTokens = 16;
/** Shorter prefills are dominated by fixed costs and don't show the engine's prefill rate. */
constexpr std::int64_t minSampleTokens = 256;
constexpr std::int64_t minSampleMs = 5;
/** Weight of a new sample in the moving average of an engine's prefill rate. */
constexpr double sampleWeight = 1.0 / 16;

void addRelaxed(std::atomic<std::int64_t> &value, std::int64_t amount)
{
    value.fetch_add(amount, std::memory_order_relaxed);
}

void updatePrefillRate(UpstreamLoad &live, const RoutingTicket &ticket, Millis now)
{
    const std::int64_t tokens = ticket.promptTokensAhead + ticket.promptTokens;
    const std::int64_t elapsed = (now - ticket.startedAt).count();
    if (tokens < minSampleTokens || elapsed < minSampleMs)
        return;
    const double nominal = ticket.nominalPrefillRate;
    const double sampled = static_cast<double>(tokens) * 1000 / static_cast<double>(elapsed);
    // Without bounds, one stalled response could lower the rate so far that the engine would get
    // no more requests, and hence no sample that would raise the rate again.
    const double bounded = std::clamp(sampled, nominal / 4, nominal * 2);
    const auto before = static_cast<double>(live.prefillRate.load(std::memory_order_relaxed));
    const double base = before > 0 ? before : nominal;
    live.prefillRate.store(static_cast<std::int64_t>(base + sampleWeight * (bounded - base)),
                           std::memory_order_relaxed);
}

} // namespace

Router::Router(LiveLoads &loads, PrefixHints &hints, RouterOptions options,
               std::uint64_t preferenceSeed)
    : loads_(loads), hints_(hints), options_(options), preferenceSeed_(preferenceSeed)
{ }

std::optional<RoutingChoice> Router::choose(const RoutingRequest &request,
                                            const RoutingTable &table, Millis now,
                                            const RandomHook &random, Reason *lastReason) const
{
    if (request.pool >= table.poolCount() || table.pool(request.pool).isEmpty()) {
        fail(lastReason, "no_upstream", "no upstream of the pool accepts new requests");
        return std::nullopt;
    }
    detail::Selection selection(request, table, loads_, options_, preferenceSeed_, now);
    if (request.prefixes != nullptr && !table.pool(request.pool).isService)
        selection.addHolders(hints_.find(*request.prefixes, now));

    // Each step drops one constraint: first the sample size, then ejections, then the exclusion of
    // upstreams that were already tried.
    constexpr detail::SelectionRules relaxationSteps[] = {
        {false, false, false}, {false, false, true}, {true, false, true}, {true, true, true}};
    for (const detail::SelectionRules &rules : relaxationSteps) {
        if (auto choice = selection.run(rules, random))
            return choice;
    }
    fail(lastReason, "no_upstream", "every upstream of the pool is excluded for this request");
    return std::nullopt;
}

RoutingTicket Router::started(const RoutingRequest &request, const RoutingChoice &choice,
                              const RoutingTable &table, Millis now)
{
    RoutingTicket ticket;
    ticket.upstream = choice.upstream;
    ticket.prefill = choice.prefill;
    ticket.promptTokens = std::max(
        minUncachedTokens, static_cast<std::int64_t>(request.promptTokens) - choice.cachedTokens);
    ticket.outputTokens = request.expectedOutputTokens;
    ticket.startedAt = now;

    const UpstreamIndex prefillIndex = choice.prefill != noIndex ? choice.prefill : choice.upstream;
    UpstreamLoad &prefillLive = loads_.upstream(prefillIndex);
    ticket.nominalPrefillRate = table.upstream(prefillIndex).prefillTokensPerSecond;
    ticket.promptTokensAhead = prefillLive.promptTokens.load(std::memory_order_relaxed)
        + prefillLive.othersPromptTokens.load(std::memory_order_relaxed);
    addRelaxed(prefillLive.promptTokens, ticket.promptTokens);
    if (choice.prefill != noIndex)
        addRelaxed(prefillLive.requests, 1);
    addRelaxed(loads_.upstream(choice.upstream).requests, 1);
    addRelaxed(loads_.upstream(choice.upstream).outputTokens, ticket.outputTokens);

    if (request.customer != noIndex) {
        TeamUsage &usage = loads_.team(table.teamOf(request.customer));
        const std::int64_t cost =
            static_cast<std::int64_t>(request.promptTokens) + ticket.outputTokens;
        addRelaxed(usage.allTokens, cost);
        if (table.upstream(choice.upstream).costClass == CostClass::Reclaimable)
            addRelaxed(usage.reclaimableTokens, cost);
    }
    if (request.prefixes != nullptr)
        hints_.record(*request.prefixes, prefillIndex, now);
    return ticket;
}

void Router::firstToken(RoutingTicket &ticket, Millis now)
{
    if (ticket.sawFirstToken)
        return;
    ticket.sawFirstToken = true;
    const bool disaggregated = ticket.prefill != noIndex;
    UpstreamLoad &prefillLive = loads_.upstream(disaggregated ? ticket.prefill : ticket.upstream);
    addRelaxed(prefillLive.promptTokens, -ticket.promptTokens);
    if (disaggregated)
        addRelaxed(prefillLive.requests, -1);
    if (ticket.nominalPrefillRate > 0)
        updatePrefillRate(prefillLive, ticket, now);
}

void Router::finished(RoutingTicket &ticket, UpstreamOutcome outcome, Millis now)
{
    const bool disaggregated = ticket.prefill != noIndex;
    if (!ticket.sawFirstToken) {
        UpstreamLoad &prefillLive =
            loads_.upstream(disaggregated ? ticket.prefill : ticket.upstream);
        addRelaxed(prefillLive.promptTokens, -ticket.promptTokens);
        if (disaggregated)
            addRelaxed(prefillLive.requests, -1);
    }
    UpstreamLoad &live = loads_.upstream(ticket.upstream);
    addRelaxed(live.requests, -1);
    addRelaxed(live.outputTokens, -ticket.outputTokens);
    if (outcome == UpstreamOutcome::Success) {
        live.successes.fetch_add(1, std::memory_order_relaxed);
        live.consecutiveFailures.store(0, std::memory_order_relaxed);
        live.lastFailureAt.store(UpstreamLoad::noFailure, std::memory_order_relaxed);
    } else if (outcome == UpstreamOutcome::Failure) {
        live.lastFailureAt.store(now.count(), std::memory_order_relaxed);
        live.failures.fetch_add(1, std::memory_order_relaxed);
        live.consecutiveFailures.fetch_add(1, std::memory_order_relaxed);
    }
    ticket.sawFirstToken = true;
}

} // namespace cuminrail

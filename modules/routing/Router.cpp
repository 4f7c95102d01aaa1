#include "routing/Router.h"

#include "routing/detail/Selection.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr std::int64_t minimumUncached = 16;
/** Shorter prompts say nothing about an engine's speed. */
constexpr std::int64_t minimumMeasuredTokens = 256;
constexpr std::int64_t minimumMeasuredMs = 5;
/** Weight of one more measurement of an engine's speed. */
constexpr double rateGain = 1.0 / 16;

void addRelaxed(std::atomic<std::int64_t> &value, std::int64_t amount)
{
    value.fetch_add(amount, std::memory_order_relaxed);
}

void learnRate(UpstreamLive &live, const RoutingTicket &ticket, Millis now)
{
    const std::int64_t tokens = ticket.queuedAhead + ticket.promptTokens;
    const std::int64_t elapsed = (now - ticket.startedAt).count();
    if (tokens < minimumMeasuredTokens || elapsed < minimumMeasuredMs)
        return;
    const double nominal = ticket.nominalPrefillRate;
    const double sampled = static_cast<double>(tokens) * 1000 / static_cast<double>(elapsed);
    // Without bounds one stalled answer would make an engine look dead and keep it idle for good.
    const double bounded = std::clamp(sampled, nominal / 4, nominal * 2);
    const auto before = static_cast<double>(live.prefillRate.load(std::memory_order_relaxed));
    const double base = before > 0 ? before : nominal;
    live.prefillRate.store(static_cast<std::int64_t>(base + rateGain * (bounded - base)),
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
        fail(lastReason, "no_upstream", "nothing serves it that takes new work");
        return std::nullopt;
    }
    detail::Selection selection(request, table, loads_, options_, preferenceSeed_, now);
    if (request.prefixes != nullptr && !table.pool(request.pool).isService)
        selection.addHolders(hints_.find(*request.prefixes, now));

    // Each step gives up one wish: a small sample, then ejections, then "not where it failed".
    constexpr detail::SelectionRules steps[] = {
        {false, false, false}, {false, false, true}, {true, false, true}, {true, true, true}};
    for (const detail::SelectionRules &rules : steps) {
        if (auto choice = selection.run(rules, random))
            return choice;
    }
    fail(lastReason, "no_upstream", "no upstream may run this request");
    return std::nullopt;
}

RoutingTicket Router::started(const RoutingRequest &request, const RoutingChoice &choice,
                              const RoutingTable &table, Millis now)
{
    RoutingTicket ticket;
    ticket.upstream = choice.upstream;
    ticket.prefill = choice.prefill;
    ticket.promptTokens = std::max(
        minimumUncached, static_cast<std::int64_t>(request.promptTokens) - choice.cachedTokens);
    ticket.outputTokens = request.expectedOutputTokens;
    ticket.startedAt = now;

    const UpstreamIndex readerIndex = choice.prefill != noIndex ? choice.prefill : choice.upstream;
    UpstreamLive &reader = loads_.upstream(readerIndex);
    ticket.nominalPrefillRate = table.upstream(readerIndex).prefillTokensPerSecond;
    ticket.queuedAhead = reader.promptTokens.load(std::memory_order_relaxed)
        + reader.othersPromptTokens.load(std::memory_order_relaxed);
    addRelaxed(reader.promptTokens, ticket.promptTokens);
    if (choice.prefill != noIndex)
        addRelaxed(reader.requests, 1);
    addRelaxed(loads_.upstream(choice.upstream).requests, 1);
    addRelaxed(loads_.upstream(choice.upstream).outputTokens, ticket.outputTokens);

    if (request.customer != noIndex) {
        TeamWork &work = loads_.team(table.teamOf(request.customer));
        const std::int64_t cost =
            static_cast<std::int64_t>(request.promptTokens) + ticket.outputTokens;
        addRelaxed(work.allTokens, cost);
        if (table.upstream(choice.upstream).costClass == CostClass::Reclaimable)
            addRelaxed(work.reclaimableTokens, cost);
    }
    if (request.prefixes != nullptr)
        hints_.remember(*request.prefixes, readerIndex, now);
    return ticket;
}

void Router::firstToken(RoutingTicket &ticket, Millis now)
{
    if (ticket.sawFirstToken)
        return;
    ticket.sawFirstToken = true;
    const bool apart = ticket.prefill != noIndex;
    UpstreamLive &reader = loads_.upstream(apart ? ticket.prefill : ticket.upstream);
    addRelaxed(reader.promptTokens, -ticket.promptTokens);
    if (apart)
        addRelaxed(reader.requests, -1);
    if (ticket.nominalPrefillRate > 0)
        learnRate(reader, ticket, now);
}

void Router::finished(RoutingTicket &ticket, UpstreamOutcome outcome, Millis now)
{
    const bool apart = ticket.prefill != noIndex;
    if (!ticket.sawFirstToken) {
        UpstreamLive &reader = loads_.upstream(apart ? ticket.prefill : ticket.upstream);
        addRelaxed(reader.promptTokens, -ticket.promptTokens);
        if (apart)
            addRelaxed(reader.requests, -1);
    }
    UpstreamLive &live = loads_.upstream(ticket.upstream);
    addRelaxed(live.requests, -1);
    addRelaxed(live.outputTokens, -ticket.outputTokens);
    if (outcome == UpstreamOutcome::Success) {
        live.successes.fetch_add(1, std::memory_order_relaxed);
        live.consecutiveFailures.store(0, std::memory_order_relaxed);
        live.failedAt.store(UpstreamLive::noFailure, std::memory_order_relaxed);
    } else if (outcome == UpstreamOutcome::Failure) {
        live.failedAt.store(now.count(), std::memory_order_relaxed);
        live.failures.fetch_add(1, std::memory_order_relaxed);
        live.consecutiveFailures.fetch_add(1, std::memory_order_relaxed);
    }
    ticket.sawFirstToken = true;
}

} // namespace cuminrail

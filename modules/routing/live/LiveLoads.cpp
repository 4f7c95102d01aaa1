#include "routing/live/LiveLoads.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Prompt tokens assumed per waiting request of an engine that does not report them. */
constexpr std::int64_t assumedWaitingTokens = 500;

std::int64_t load(const std::atomic<std::int64_t> &value)
{
    return value.load(std::memory_order_relaxed);
}

void halve(std::atomic<std::int64_t> &value)
{
    value.fetch_sub(load(value) / 2, std::memory_order_relaxed);
}

} // namespace

LiveLoads::LiveLoads(std::size_t upstreams, std::size_t teams)
    : upstreamCapacity_(upstreams), teamCapacity_(teams), upstreams_(new UpstreamLoad[upstreams]),
      teams_(new TeamUsage[teams])
{ }

void LiveLoads::applyReport(UpstreamIndex index, const LoadReport &report, Millis age, Millis now)
{
    UpstreamLoad &live = upstreams_[index];
    if (load(live.peerSumsValidUntil) > now.count())
        return;
    const auto requests = static_cast<std::int64_t>(report.running) + report.waiting;
    const std::int64_t waitingTokens = report.waitingPromptTokens > 0
        ? static_cast<std::int64_t>(report.waitingPromptTokens)
        : static_cast<std::int64_t>(report.waiting) * assumedWaitingTokens;
    const std::int64_t zero = 0;
    live.othersRequests.store(std::max(zero, requests - load(live.requests)),
                              std::memory_order_relaxed);
    live.othersPromptTokens.store(std::max(zero, waitingTokens - load(live.promptTokens)),
                                  std::memory_order_relaxed);
    live.reportedAt.store((now - age).count(), std::memory_order_relaxed);
}

void LiveLoads::applyPeerSums(UpstreamIndex index, std::int64_t requests, std::int64_t promptTokens,
                              Millis now, Millis validFor)
{
    UpstreamLoad &live = upstreams_[index];
    live.othersRequests.store(requests, std::memory_order_relaxed);
    live.othersPromptTokens.store(promptTokens, std::memory_order_relaxed);
    live.reportedAt.store(now.count(), std::memory_order_relaxed);
    live.peerSumsValidUntil.store((now + validFor).count(), std::memory_order_relaxed);
}

void LiveLoads::decayTeams()
{
    for (std::size_t i = 0; i < teamCapacity_; ++i) {
        halve(teams_[i].reclaimableTokens);
        halve(teams_[i].allTokens);
    }
}

} // namespace cuminrail

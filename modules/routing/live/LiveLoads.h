#pragma once

#include "core/ids/Indexes.h"
#include "core/time/Millis.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace cuminrail {

/** An engine's last published load. */
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Prompt tokens queued for prefill; 0 when the engine does not report them. */
    std::uint64_t waitingPromptTokens = 0;
};

/** How an attempt at an upstream ended, as far as the upstream caused it. */
enum class UpstreamOutcome : std::uint8_t {
    Success,
    /** Connection refused or broken, malformed response, 5xx, or time-out. */
    Failure,
    /** The caller disconnected or the request was cancelled: not caused by the upstream. */
    Neutral,
};

/**
    Live counters of one upstream. All members are atomics: any thread may read and update them.

    The members that every selection reads come first and fill one cache line.
*/
struct alignas(64) UpstreamLoad
{
    /** This instance's requests in progress there. */
    std::atomic<std::int64_t> requests{0};
    /** Prompt tokens of this instance's requests that are still in prefill. */
    std::atomic<std::int64_t> promptTokens{0};
    /** Load from other instances: the last report less this instance's own part of it. */
    std::atomic<std::int64_t> othersRequests{0};
    std::atomic<std::int64_t> othersPromptTokens{0};
    /** When the last report was sampled, by this machine's clock; -1 for never. */
    std::atomic<std::int64_t> reportedAt{-1};
    /** Measured prefill rate in tokens per second; 0 until measured. */
    std::atomic<std::int64_t> prefillRate{0};
    /** Gets no new work before this instant; set by OutlierEjector. */
    std::atomic<std::int64_t> ejectedUntil{0};
    /** Time of the last failure, reset to noFailure by a success. */
    std::atomic<std::int64_t> lastFailureAt{noFailure};

    /** Expected output tokens of this instance's requests in progress. */
    std::atomic<std::int64_t> outputTokens{0};
    /** Until when load from peers' messages takes precedence over reports. */
    std::atomic<std::int64_t> peerSumsValidUntil{-1};
    /** Outcomes since the last evaluation. */
    std::atomic<std::uint32_t> successes{0};
    std::atomic<std::uint32_t> failures{0};
    std::atomic<std::uint32_t> consecutiveFailures{0};
    /** Consecutive ejections; each doubles the duration of the next one, up to a bound. */
    std::atomic<std::uint32_t> ejections{0};

    static constexpr std::int64_t noFailure = -1000000000;
};

/** Decaying token counts of a team: on reclaimable upstreams, and in total. */
struct TeamUsage
{
    std::atomic<std::int64_t> reclaimableTokens{0};
    std::atomic<std::int64_t> allTokens{0};
};

/**
    State that changes with every request: own requests in progress, load reports, outcomes.

    Shared by all request threads without locks. All counters are atomics; a selection that reads a
    slightly stale value may only choose a slightly worse upstream. Takes sizeof(UpstreamLoad) bytes
    for each upstream and sizeof(TeamUsage) for each team of the capacity.
*/
class LiveLoads
{
public:
    static constexpr std::size_t defaultUpstreams = 2048;
    static constexpr std::size_t defaultTeams = 512;

    explicit LiveLoads(std::size_t upstreams = defaultUpstreams, std::size_t teams = defaultTeams);

    /** Returns the counters of an upstream. The index must be below upstreamCapacity(). */
    UpstreamLoad &upstream(UpstreamIndex index) { return upstreams_[index]; }
    const UpstreamLoad &upstream(UpstreamIndex index) const { return upstreams_[index]; }
    std::size_t upstreamCapacity() const { return upstreamCapacity_; }

    TeamUsage &team(TeamIndex index) { return teams_[index]; }
    const TeamUsage &team(TeamIndex index) const { return teams_[index]; }
    std::size_t teamCapacity() const { return teamCapacity_; }

    /** Applies a load report. @param age  time since the engine sampled it. Control thread. */
    void applyReport(UpstreamIndex index, const LoadReport &report, Millis age, Millis now);

    /** Sets the load summed over all peers; it takes precedence over reports for @c validFor. */
    void applyPeerSums(UpstreamIndex index, std::int64_t requests, std::int64_t promptTokens,
                       Millis now, Millis validFor);

    /** Halves the teams' counters. Call about once a minute, on the control thread. */
    void decayTeams();

private:
    std::size_t upstreamCapacity_;
    std::size_t teamCapacity_;
    std::unique_ptr<UpstreamLoad[]> upstreams_;
    std::unique_ptr<TeamUsage[]> teams_;
};

} // namespace cuminrail

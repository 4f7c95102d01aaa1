#pragma once

#include "core/ids/Indexes.h"
#include "core/time/Millis.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace cuminrail {

/** What an engine last published about its load. */
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Prompt tokens that wait to be read; 0 when the engine does not say. */
    std::uint64_t waitingPromptTokens = 0;
};

/** How an attempt at an upstream ended, as far as the upstream is to blame. */
enum class UpstreamOutcome : std::uint8_t {
    Success,
    /** Connection refused or broken, answer malformed, 5xx, no progress in time. */
    Failure,
    /** The caller left or the request was cancelled: says nothing about the upstream. */
    Neutral,
};

/**
    Live state of one upstream. All members are atomics: any thread may read and add.

    What every decision reads comes first and fills one cache line.
*/
struct alignas(64) UpstreamLive
{
    /** This instance's own requests there, from dispatch to end. */
    std::atomic<std::int64_t> requests{0};
    /** Prompt tokens of own requests whose first token has not come. */
    std::atomic<std::int64_t> promptTokens{0};
    /** Load of others, from the last report, less what of it was this instance's own. */
    std::atomic<std::int64_t> othersRequests{0};
    std::atomic<std::int64_t> othersPromptTokens{0};
    /** When the report was sampled, on this machine's clock; -1 for never. */
    std::atomic<std::int64_t> reportedAt{-1};
    /** Measured speed of reading prompts, in tokens a second; 0 until measured. */
    std::atomic<std::int64_t> prefillRate{0};
    /** No new work before this instant; set by OutlierEjector. */
    std::atomic<std::int64_t> ejectedUntil{0};
    /** When the last failure was seen that no success followed; a long time ago for none. */
    std::atomic<std::int64_t> failedAt{noFailure};

    /** Output tokens that own requests are still expected to produce. */
    std::atomic<std::int64_t> outputTokens{0};
    /** Until when peers' own words replace the reports. */
    std::atomic<std::int64_t> sharedUntil{-1};
    /** Outcomes since the last evaluation. */
    std::atomic<std::uint32_t> successes{0};
    std::atomic<std::uint32_t> failures{0};
    std::atomic<std::uint32_t> consecutiveFailures{0};
    /** How often it was ejected in a row; lengthens the next ejection. */
    std::atomic<std::uint32_t> ejections{0};

    static constexpr std::int64_t noFailure = -1000000000;
};

/** A team's work on reclaimable upstreams against all its work, in tokens, decaying. */
struct TeamWork
{
    std::atomic<std::int64_t> reclaimableTokens{0};
    std::atomic<std::int64_t> allTokens{0};
};

/**
    What changes with every request: own outstanding work, aged reports, outcomes.

    Shared by all request threads without locks; counters are atomics, and a decision that reads
    a value a moment too old costs a slightly worse choice and nothing else. Memory is
    sizeof(UpstreamLive) for each upstream and sizeof(TeamWork) for each team of the capacity.
*/
class LiveLoads
{
public:
    static constexpr std::size_t defaultUpstreams = 2048;
    static constexpr std::size_t defaultTeams = 512;

    explicit LiveLoads(std::size_t upstreams = defaultUpstreams, std::size_t teams = defaultTeams);

    /** Returns the live state of an upstream. The index must be below upstreamCapacity(). */
    UpstreamLive &upstream(UpstreamIndex index) { return upstreams_[index]; }
    const UpstreamLive &upstream(UpstreamIndex index) const { return upstreams_[index]; }
    std::size_t upstreamCapacity() const { return upstreamCapacity_; }

    TeamWork &team(TeamIndex index) { return teams_[index]; }
    const TeamWork &team(TeamIndex index) const { return teams_[index]; }
    std::size_t teamCapacity() const { return teamCapacity_; }

    /** Takes a load report. @param age how long ago the engine sampled it. Control thread. */
    void report(UpstreamIndex index, const LoadReport &report, Millis age, Millis now);

    /** Takes what all peers together have in progress; counts more than reports for a while. */
    void sharedByPeers(UpstreamIndex index, std::int64_t requests, std::int64_t promptTokens,
                       Millis now, Millis fresh);

    /** Halves the teams' counters: call about once a minute. Control thread. */
    void decayTeams();

private:
    std::size_t upstreamCapacity_;
    std::size_t teamCapacity_;
    std::unique_ptr<UpstreamLive[]> upstreams_;
    std::unique_ptr<TeamWork[]> teams_;
};

} // namespace cuminrail

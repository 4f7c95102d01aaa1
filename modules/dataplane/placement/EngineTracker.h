#pragma once

#include "core/time/Millis.h"
#include "dataplane/placement/PrefixCacheModel.h"

#include <map>
#include <optional>

namespace cuminrail {

/**
    Estimates the prefill rate of engines of one kind from the duration of their responses.

    All engines of a kind share one estimate: estimates for single engines, each from a few samples
    that include other instances' work, differ by a factor of two and draw prompts away from the
    engines that have their parts cached.
*/
class PrefillRateEstimator
{
public:
    /** Prompt tokens per millisecond, assumed until the first samples. */
    static constexpr double defaultRate = 30.0;

    /** Fixed part of a response time, assumed until the first samples: that of a small idle engine.
     */
    static constexpr double defaultFixedMillis = 45.0;

    void addSample(double freshTokens, Millis duration);
    double tokensPerMilli() const { return rate_; }
    /**
        Returns the response time of the fastest responses apart from prefill: connection, the
        engine's set-up and its first step. It differs between kinds of engines by 100 ms, a quarter
        of the tightest latency target.
    */
    double fixedMillis() const { return fixedMillis_; }

private:
    double rate_ = defaultRate;
    double fixedMillis_ = defaultFixedMillis;
};

/** Identifies a response that is pending at an engine; 0 is none. */
using PendingResponseId = std::uint64_t;

/**
    This instance's estimate of the state of one engine: the prompt parts that it sent there, its
    own pending work there, and the recent delay of its requests there.
*/
class EngineTracker
{
public:
    /** Half-life of the estimated delay by other instances' work. */
    static constexpr double delayHalfLifeMillis = 800.0;
    /** How long a reported wait is used; after that, too much unknown work may have arrived. */
    static constexpr Millis reportedWaitValidity = Millis(1500);
    /** Delay assumed after a rejection; by its half-life the engine is used again after seconds. */
    static constexpr double rejectionDelayMillis = 2000.0;

    /** Returns how many of the prompt's tokens the engine probably has cached. */
    std::uint32_t cachedTokens(const PromptChain &chain) const
    {
        return parts_.cachedTokens(chain);
    }
    void remember(const PromptChain &chain) { parts_.remember(chain); }

    /** Call when a request with @p freshTokens prompt tokens to prefill has been sent there. */
    void requestSent(double freshTokens);
    /**
        Registers a response that is expected after @p expectedMillis. While it is overdue, the
        engine counts as delayed by the same amount: the work of other instances is not visible
        here, and without this an engine would look idle from the moment it stops responding until
        its first late response.
    */
    void expectResponse(PendingResponseId responseId, double expectedMillis, Millis now);
    /** Call when it arrived; its lateness is attributed to other instances' work. */
    void responseArrived(PendingResponseId responseId, Millis now);
    /** Call when it is no longer awaited. The time by which it is overdue counts as recent delay.
     */
    void responseAbandoned(PendingResponseId responseId, Millis now);
    /** Call when the engine has completed the prefill of a prompt. */
    void prefillCompleted(double freshTokens);
    void requestFinished(double freshTokens, bool wasPrefilled);
    /**
        Call when it rejected a request. It may be changing its stage or be full of other instances'
        work; for a moment it counts as if a prompt had waited there for long.
    */
    void requestRejected(Millis now);

    /** Sets the wait that the owner of the engine's prefill tracker reported for all instances. */
    void setReportedWait(double waitMillis, Millis now);

    /** Returns the estimated wait of a prompt there before its prefill starts. */
    double waitMillis(double rate, Millis now) const;
    int running() const { return running_; }
    double openTokens() const { return pendingTokens_; }

private:
    struct PendingResponse
    {
        Millis sentAt;
        double expectedMillis = 0;
    };

    double delayAt(Millis now) const;
    double overdueMillis(Millis now) const;
    void recordDelay(double delayMillis, Millis now);

    PrefixCacheModel parts_;
    /** Prompt tokens sent by this instance whose prefill has not completed. */
    double pendingTokens_ = 0;
    int running_ = 0;
    /** Pending responses, in the order of sending. */
    std::map<PendingResponseId, PendingResponse> pendingResponses_;
    double delay_ = 0;
    Millis delayUpdatedAt_;
    double reportedWait_ = 0;
    std::optional<Millis> reportedAt_;
    /** Prompt tokens sent by this instance since that report. */
    double tokensSinceReport_ = 0;
};

} // namespace cuminrail

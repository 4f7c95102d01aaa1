#include "dataplane/placement/EngineTracker.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

/** Prompts with fewer tokens show the fixed part of the response time rather than the rate. */
constexpr double sampleTokens = 1500.0;
/** From two network delays and one step to far more than any present engine's first step. */
constexpr double minFixedMillis = 5.0;
constexpr double maxFixedMillis = 400.0;
constexpr double minRate = 4.0;
constexpr double maxRate = 80.0;

} // namespace

void EngineTracker::requestSent(double freshTokens)
{
    pendingTokens_ += freshTokens;
    tokensSinceReport_ += freshTokens;
    ++running_;
}

void PrefillRateEstimator::addSample(double freshTokens, Millis duration)
{
    const double millis = static_cast<double>(duration.count());
    const double overheadMillis = millis - freshTokens / rate_;
    fixedMillis_ += (overheadMillis < fixedMillis_ ? 0.2 : 0.01) * (overheadMillis - fixedMillis_);
    fixedMillis_ = std::clamp(fixedMillis_, minFixedMillis, maxFixedMillis);
    if (freshTokens < sampleTokens || millis <= fixedMillis_)
        return;
    const double observedRate = std::clamp(freshTokens / (millis - fixedMillis_), minRate, maxRate);
    // Waits in the engine's queue make samples too low; unexpected cache hits make a few too high.
    rate_ += (observedRate > rate_ ? 0.06 : 0.015) * (observedRate - rate_);
}

void EngineTracker::expectResponse(PendingResponseId responseId, double expectedMillis, Millis now)
{
    pendingResponses_.emplace(responseId, PendingResponse{now, expectedMillis});
}

void EngineTracker::responseArrived(PendingResponseId responseId, Millis now)
{
    const auto found = pendingResponses_.find(responseId);
    if (found == pendingResponses_.end())
        return;
    const double duration = static_cast<double>((now - found->second.sentAt).count());
    recordDelay(std::max(0.0, duration - found->second.expectedMillis), now);
    pendingResponses_.erase(found);
}

void EngineTracker::responseAbandoned(PendingResponseId responseId, Millis now)
{
    if (pendingResponses_.count(responseId) == 0)
        return;
    delay_ = std::max(delayAt(now), overdueMillis(now));
    delayUpdatedAt_ = now;
    pendingResponses_.erase(responseId);
}

void EngineTracker::recordDelay(double delayMillis, Millis now)
{
    delay_ = 0.5 * delayAt(now) + 0.5 * delayMillis;
    delayUpdatedAt_ = now;
}

double EngineTracker::overdueMillis(Millis now) const
{
    double maxOverdue = 0;
    for (const auto &[responseId, expected] : pendingResponses_)
        maxOverdue = std::max(maxOverdue,
                              static_cast<double>((now - expected.sentAt).count())
                                  - expected.expectedMillis);
    return maxOverdue;
}

void EngineTracker::prefillCompleted(double freshTokens)
{
    pendingTokens_ = std::max(0.0, pendingTokens_ - freshTokens);
}

void EngineTracker::requestFinished(double freshTokens, bool wasPrefilled)
{
    if (!wasPrefilled)
        pendingTokens_ = std::max(0.0, pendingTokens_ - freshTokens);
    running_ = std::max(0, running_ - 1);
}

void EngineTracker::requestRejected(Millis now)
{
    delay_ = std::max(delayAt(now), rejectionDelayMillis);
    delayUpdatedAt_ = now;
}

double EngineTracker::delayAt(Millis now) const
{
    const double age = static_cast<double>((now - delayUpdatedAt_).count());
    return delay_ * std::exp2(-age / delayHalfLifeMillis);
}

void EngineTracker::setReportedWait(double waitMillis, Millis now)
{
    reportedWait_ = waitMillis;
    reportedAt_ = now;
    tokensSinceReport_ = 0;
}

double EngineTracker::waitMillis(double rate, Millis now) const
{
    if (reportedAt_ && now - *reportedAt_ < reportedWaitValidity) {
        const double remaining =
            reportedWait_ + tokensSinceReport_ / rate - double((now - *reportedAt_).count());
        return std::max({0.0, remaining, overdueMillis(now)});
    }
    return pendingTokens_ / rate + std::max(delayAt(now), overdueMillis(now));
}

} // namespace cuminrail

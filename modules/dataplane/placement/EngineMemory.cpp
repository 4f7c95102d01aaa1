#include "dataplane/placement/EngineMemory.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

/** A sample with less work says more about the fixed part than about the rate. */
constexpr double sampleTokens = 1500.0;
/** Two network delays and a step; and far more than any present engine's first step. */
constexpr double leastFixedMillis = 5.0;
constexpr double mostFixedMillis = 400.0;
constexpr double slowestRate = 4.0;
constexpr double fastestRate = 80.0;

} // namespace

void EngineMemory::start(double freshTokens)
{
    openTokens_ += freshTokens;
    tokensSinceTold_ += freshTokens;
    ++running_;
}

void ReadingRate::sample(double freshTokens, Millis took)
{
    const double millis = static_cast<double>(took.count());
    const double besides = millis - freshTokens / rate_;
    fixedMillis_ += (besides < fixedMillis_ ? 0.2 : 0.01) * (besides - fixedMillis_);
    fixedMillis_ = std::clamp(fixedMillis_, leastFixedMillis, mostFixedMillis);
    if (freshTokens < sampleTokens || millis <= fixedMillis_)
        return;
    const double seen = std::clamp(freshTokens / (millis - fixedMillis_), slowestRate, fastestRate);
    // Waiting makes samples too low; parts cached unexpectedly make a few too high.
    rate_ += (seen > rate_ ? 0.06 : 0.015) * (seen - rate_);
}

void EngineMemory::expect(AnswerTicket ticket, double expectedMillis, Millis now)
{
    expected_.emplace(ticket, Expected{now, expectedMillis});
}

void EngineMemory::answered(AnswerTicket ticket, Millis now)
{
    const auto found = expected_.find(ticket);
    if (found == expected_.end())
        return;
    const double took = static_cast<double>((now - found->second.sentAt).count());
    learn(std::max(0.0, took - found->second.millis), now);
    expected_.erase(found);
}

void EngineMemory::gaveUp(AnswerTicket ticket, Millis now)
{
    if (expected_.count(ticket) == 0)
        return;
    lag_ = std::max(lagAt(now), overdue(now));
    lagSeen_ = now;
    expected_.erase(ticket);
}

void EngineMemory::learn(double lateMillis, Millis now)
{
    lag_ = 0.5 * lagAt(now) + 0.5 * lateMillis;
    lagSeen_ = now;
}

double EngineMemory::overdue(Millis now) const
{
    double most = 0;
    for (const auto &[ticket, expected] : expected_)
        most =
            std::max(most, static_cast<double>((now - expected.sentAt).count()) - expected.millis);
    return most;
}

void EngineMemory::read(double freshTokens)
{
    openTokens_ = std::max(0.0, openTokens_ - freshTokens);
}

void EngineMemory::finish(double freshTokens, bool wasRead)
{
    if (!wasRead)
        openTokens_ = std::max(0.0, openTokens_ - freshTokens);
    running_ = std::max(0, running_ - 1);
}

void EngineMemory::refused(Millis now)
{
    lag_ = std::max(lagAt(now), refusalLagMillis);
    lagSeen_ = now;
}

double EngineMemory::lagAt(Millis now) const
{
    const double age = static_cast<double>((now - lagSeen_).count());
    return lag_ * std::exp2(-age / lagHalfLifeMillis);
}

void EngineMemory::told(double waitMillis, Millis now)
{
    told_ = waitMillis;
    toldAt_ = now;
    tokensSinceTold_ = 0;
}

double EngineMemory::waitMillis(double rate, Millis now) const
{
    if (toldAt_ && now - *toldAt_ < toldHolds) {
        const double left = told_ + tokensSinceTold_ / rate - double((now - *toldAt_).count());
        return std::max({0.0, left, overdue(now)});
    }
    return openTokens_ / rate + std::max(lagAt(now), overdue(now));
}

} // namespace cuminrail

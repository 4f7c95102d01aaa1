#include "admission/queue/WindowController.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis evaluationInterval = Millis(250);
constexpr std::uint32_t minSamples = 8;
constexpr double maxLateShare = 0.35;
constexpr double maxSlowShare = 0.2;
constexpr double decreaseFactor = 0.9;
constexpr double increaseFactor = 1.06;
constexpr double minFactor = 0.3;
constexpr double maxFactor = 8;

} // namespace

void WindowController::recordFirstToken(const LatencySample &sample, Millis now)
{
    ++samples_;
    late_ += sample.seconds > sample.allowedSeconds ? 1 : 0;
    evaluate(now);
}

void WindowController::recordTokenTime(const LatencySample &sample, Millis now)
{
    ++responses_;
    slow_ += sample.seconds > sample.allowedSeconds ? 1 : 0;
    evaluate(now);
}

void WindowController::evaluate(Millis now)
{
    if (now < evaluatedAt_ + evaluationInterval || samples_ + responses_ < minSamples)
        return;
    evaluatedAt_ = now;
    const bool tooLate = late_ > maxLateShare * samples_;
    const bool tooSlow = slow_ > maxSlowShare * responses_;
    if (tooLate || tooSlow)
        factor_ *= decreaseFactor;
    else if (windowWasFull_)
        factor_ *= increaseFactor;
    factor_ = std::clamp(factor_, minFactor, maxFactor);
    samples_ = late_ = responses_ = slow_ = 0;
    windowWasFull_ = false;
}

} // namespace cuminrail

#include "admission/queue/WindowController.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis interval = Millis(250);
constexpr std::uint32_t enoughSamples = 8;
constexpr double lateShare = 0.35;
constexpr double slowShare = 0.2;
constexpr double shrink = 0.9;
constexpr double grow = 1.06;
constexpr double smallest = 0.3;
constexpr double largest = 8;

} // namespace

void WindowController::firstToken(const LatencySample &sample, Millis now)
{
    ++samples_;
    late_ += sample.seconds > sample.allowedSeconds ? 1 : 0;
    evaluate(now);
}

void WindowController::answer(const LatencySample &sample, Millis now)
{
    ++answers_;
    slow_ += sample.seconds > sample.allowedSeconds ? 1 : 0;
    evaluate(now);
}

void WindowController::evaluate(Millis now)
{
    if (now < evaluatedAt_ + interval || samples_ + answers_ < enoughSamples)
        return;
    evaluatedAt_ = now;
    const bool tooLate = late_ > lateShare * samples_;
    const bool tooSlow = slow_ > slowShare * answers_;
    if (tooLate || tooSlow)
        factor_ *= shrink;
    else if (heldBack_)
        factor_ *= grow;
    factor_ = std::clamp(factor_, smallest, largest);
    samples_ = late_ = answers_ = slow_ = 0;
    heldBack_ = false;
}

} // namespace cuminrail

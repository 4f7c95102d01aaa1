#pragma once

#include "core/time/Millis.h"

#include <algorithm>

namespace cuminrail {

/**
    A rate with a bounded burst.

    May be drawn below zero by one large request, which is then paid back before the next: the
    rate holds in the long run, and a request larger than the burst still gets through. An idle
    customer saves at most the burst.
*/
class TokenBucket
{
public:
    /** Sets the rate a second and the most that is saved up. What is there stays, within it. */
    void configure(double perSecond, double burst, Millis now)
    {
        refill(now);
        perSecond_ = perSecond;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    /** Saves up the whole burst at once: for a limit that is new. */
    void fill() { level_ = burst_; }

    bool isReady(Millis now)
    {
        refill(now);
        return level_ > 0;
    }

    void draw(double amount) { level_ -= amount; }

    /** Gives back what was drawn too much, or adds what another instance lent. */
    void add(double amount) { level_ += amount; }

    double level(Millis now)
    {
        refill(now);
        return level_;
    }

    /** Returns how long until it is ready again, were @c ahead drawn before. */
    Millis wait(double ahead, Millis now)
    {
        refill(now);
        const double missing = ahead - level_;
        if (missing < 0)
            return Millis();
        if (perSecond_ <= 0)
            return Millis::minutes(1);
        return Millis(static_cast<std::int64_t>(missing / perSecond_ * 1000) + 1);
    }

private:
    void refill(Millis now)
    {
        const Millis passed = now - updated_;
        updated_ = now;
        if (level_ < burst_)
            level_ = std::min(burst_, level_ + perSecond_ * passed.toSeconds());
    }

    double perSecond_ = 0;
    double burst_ = 0;
    double level_ = 0;
    Millis updated_;
};

} // namespace cuminrail

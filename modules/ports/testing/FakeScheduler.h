#pragma once

#include "core/random/Random.h"
#include "core/time/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cuminrail {

/**
    Virtual time for tests: runs actions in order of their instant, then of their scheduling.

    One seed gives one history; nothing in it depends on the machine.
*/
class FakeScheduler
{
public:
    explicit FakeScheduler(std::uint64_t seed = 1) : random_(seededRandom(seed)) { }
    FakeScheduler(const FakeScheduler &) = delete;
    FakeScheduler &operator=(const FakeScheduler &) = delete;

    /** Returns the current virtual instant. */
    Millis now() const { return now_; }
    /** Returns a clock that shows the virtual instant. */
    Clock clock() const
    {
        return Clock([this] { return now_; });
    }
    /** Returns a source of random numbers that all of this run share. */
    RandomHook random()
    {
        return [this] { return random_(); };
    }

    /** Runs an action at an instant, or as soon as possible when that has passed. */
    void at(Millis when, std::function<void()> action);
    /** Runs an action after a span. */
    void after(Millis delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
    /** Runs an action every period, for ever, beginning after the first period. */
    void every(Millis period, std::function<void()> action);

    /** Runs all that is due up to and including an instant, and stops there. */
    void runUntil(Millis end);
    /** Runs for a span. */
    void runFor(Millis span) { runUntil(now_ + span); }

private:
    struct Key
    {
        std::int64_t when;
        std::uint64_t number;
        bool operator<(const Key &other) const
        {
            return when != other.when ? when < other.when : number < other.number;
        }
    };

    Millis now_;
    std::uint64_t scheduled_ = 0;
    std::map<Key, std::function<void()>> actions_;
    RandomHook random_;
};

} // namespace cuminrail

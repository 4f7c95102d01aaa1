#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cuminrail {

/** Virtual time in milliseconds: what happens when, in order of time and then of scheduling. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    void at(double time, Action action) { queue_.push({time, next_++, std::move(action)}); }
    void after(double delay, Action action) { at(now_ + delay, std::move(action)); }

    double now() const { return now_; }

    /** Runs everything up to this time. */
    void runUntil(double end)
    {
        while (!queue_.empty() && queue_.top().time <= end) {
            // The top is about to be popped, and its order does not depend on the action.
            Action action = std::move(const_cast<Entry &>(queue_.top()).action);
            now_ = queue_.top().time;
            queue_.pop();
            action();
        }
        now_ = end;
    }

private:
    struct Entry
    {
        double time;
        std::uint64_t number;
        Action action;
        bool operator<(const Entry &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };
    std::priority_queue<Entry> queue_;
    std::uint64_t next_ = 0;
    double now_ = 0;
};

} // namespace cuminrail

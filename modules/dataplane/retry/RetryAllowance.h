#pragma once

#include "core/time/Millis.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** How many repeated sends all instances together may make. */
struct RetryBounds
{
    /** Repeats for each first send, over the window. */
    double ratio = 0.2;
    Millis window = Millis::seconds(10);
    /** Repeats beyond the ratio, over the window, of all instances together. */
    double extra = 0;
};

/**
    One instance's part of the system's limit on repeated sends, for each service.

    When upstreams fail under overload, every instance repeats what failed, which multiplies the
    load just when it hurts. Nobody needs to ask anybody: if each instance keeps its own repeats
    below the ratio of its own first sends, all of them together do too. The fixed part is divided
    by the number of instances.
*/
class RetryAllowance
{
public:
    /** Stays this far below the system's ratio, as requests still on their way shift windows. */
    static constexpr double safety = 0.6;

    explicit RetryAllowance(RetryBounds bounds) : bounds_(bounds) { }

    void setInstances(std::size_t count) { instances_ = count == 0 ? 1 : count; }
    /** Counts a request's first send. */
    void countFirst(const std::string &service, Millis now);
    /** Returns true, and counts a repeat, when there is room for one. */
    bool takeRepeat(const std::string &service, Millis now);

private:
    struct Window
    {
        std::deque<Millis> firsts;
        std::deque<Millis> repeats;
    };
    void expire(Window &window, Millis now) const;

    RetryBounds bounds_;
    /** Until others are known: more than the systems of today have. */
    std::size_t instances_ = 16;
    std::unordered_map<std::string, Window> windows_;
};

} // namespace cuminrail

#pragma once

#include "core/time/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace cuminrail {

class DeadlineList;

/**
    An instant after which something counts as stuck, moved forward by each sign of progress.

    Moving it forward costs a store, not a timer. It belongs to one event loop's thread.
*/
class Deadline
{
public:
    /** The hook is called once on the loop's thread, at most one tick after the instant. */
    Deadline(DeadlineList &list, std::function<void()> onExpired);
    ~Deadline();
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    /** Expires this long from now. */
    void setAfter(Millis span);
    /** Expires at an instant of the list's clock. */
    void setAt(Millis instant);
    /** Does not expire until set again. */
    void clear() { at_ = Millis::never(); }

private:
    friend class DeadlineList;
    DeadlineList &list_;
    std::function<void()> onExpired_;
    Millis at_ = Millis::never();
    std::size_t index_ = 0;
};

/**
    All deadlines of one event loop, looked through when the earliest is due.

    Load: hundreds of instances on small machines, idle most of the time. Each wake-up costs
    processor time, so an idle list wakes up rarely.
*/
class DeadlineList
{
public:
    /** A suspended machine stops the timer but not the clock, so no wait is longer than this. */
    static constexpr Millis maxWait = Millis(200);

    /** @param tick  how late a deadline may be noticed; no two wake-ups are closer */
    DeadlineList(boost::asio::io_context &io, Clock clock, Millis tick = Millis(20));
    DeadlineList(const DeadlineList &) = delete;
    DeadlineList &operator=(const DeadlineList &) = delete;

    /** Starts ticking; the loop then never runs out of work until stop(). */
    void start();
    void stop();

    Millis now() const { return clock_.now(); }

    /** Calls the hooks of all that have expired. */
    void sweep();

private:
    friend class Deadline;
    void add(Deadline &deadline);
    void remove(Deadline &deadline);
    void armTimer();
    /** A deadline was set; wakes up in time for it. */
    void noteSet(Millis instant);

    boost::asio::steady_timer timer_;
    Clock clock_;
    Millis tick_;
    bool running_ = false;
    /** When the timer wakes up next. */
    Millis wakesAt_ = Millis::never();
    std::vector<Deadline *> deadlines_;
    /** Expired in the sweep under way; an entry is null once its owner is gone. */
    std::vector<Deadline *> firing_;
};

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** How much a process may log. */
struct LogBounds
{
    /** Lines of one event kind in a second, for information; more are counted and left out. */
    double infoPerSecond = 60;
    /** The same for warnings and errors, of which an engineer needs most. */
    double warningPerSecond = 200;
    /** Bytes that wait for a reader of the output; beyond them the oldest information goes. */
    std::size_t waitingBytes = 512 * 1024;
};

/**
    Structured logs that can neither grow without bound nor hold the process up.

    A log that blocks stops the event loop as soon as nobody reads the output, and all requests with
    it; one without bounds does the same to the processor during a burst, just when it is needed.
    Lines wait here and are handed out in pieces that a pipe takes at once; what does not fit is
    left out, counted by event, and the count is logged. Belongs to one thread.
*/
class BoundedLog
{
public:
    /** Takes bytes without waiting and returns how many it took. */
    using Output = std::function<std::size_t(std::string_view)>;

    BoundedLog(std::string instance, Clock clock, std::function<std::int64_t()> wallMillis,
               Output output, LogBounds bounds = {});

    void write(const Event &event);
    /** Hands waiting lines to the output; to be called every few hundred milliseconds. */
    void flush();
    EventSink sink();

    std::uint64_t dropped() const { return droppedInAll_; }
    std::size_t waitingBytes() const { return waitingBytes_; }

private:
    struct Budget
    {
        double left = 0;
        Millis at;
        bool isNew = true;
    };
    struct Line
    {
        std::string text;
        const EventKind *kind = nullptr;
    };

    bool isWithinBudget(const EventKind &kind);
    void makeRoom();
    void countDropped(const EventKind &kind);
    void reportDropped();

    std::string instance_;
    Clock clock_;
    std::function<std::int64_t()> wallMillis_;
    Output output_;
    LogBounds bounds_;
    std::unordered_map<int, Budget> budgets_;
    std::unordered_map<std::string_view, std::uint64_t> dropped_;
    std::uint64_t droppedInAll_ = 0;
    std::deque<Line> lines_;
    std::size_t waitingBytes_ = 0;
    /** Bytes of the first line that the output has taken already. */
    std::size_t taken_ = 0;
    Millis nextReport_;
};

/** Returns an output that writes to a file descriptor only what it takes without blocking. */
BoundedLog::Output descriptorOutput(int descriptor);

} // namespace cuminrail

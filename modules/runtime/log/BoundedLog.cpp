#include "runtime/log/BoundedLog.h"

#include "core/events/EventCatalogue.h"
#include "runtime/log/JsonLine.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace cuminrail {

namespace {

/** How often what was left out is reported. */
constexpr Millis dropReportEvery = Millis::seconds(1);
/** A pipe that polls as writable takes this much without blocking (PIPE_BUF on Linux). */
constexpr std::size_t atomicBytes = 4096;

} // namespace

BoundedLog::BoundedLog(std::string instance, Clock clock, std::function<std::int64_t()> wallMillis,
                       Output output, LogBounds bounds)
    : instance_(std::move(instance)), clock_(std::move(clock)), wallMillis_(std::move(wallMillis)),
      output_(std::move(output)), bounds_(bounds)
{ }

bool BoundedLog::isWithinBudget(const EventKind &kind)
{
    const bool isInfo = kind.level == EventLevel::Debug || kind.level == EventLevel::Info;
    const double perSecond = isInfo ? bounds_.infoPerSecond : bounds_.warningPerSecond;
    Budget &budget = budgets_[kind.number];
    const Millis now = clock_.now();
    // Two seconds' worth may come at once.
    const double most = 2 * perSecond;
    budget.left = budget.isNew
        ? most
        : std::min(most, budget.left + perSecond * (now - budget.at).toSeconds());
    budget.isNew = false;
    budget.at = now;
    if (budget.left < 1)
        return false;
    budget.left -= 1;
    return true;
}

void BoundedLog::countDropped(const EventKind &kind)
{
    ++dropped_[kind.name];
    ++droppedInAll_;
}

void BoundedLog::write(const Event &event)
{
    if (!isWithinBudget(*event.kind))
        return countDropped(*event.kind);
    lines_.push_back({jsonLine(event, instance_, wallMillis_()) + "\n", event.kind});
    waitingBytes_ += lines_.back().text.size();
    makeRoom();
}

void BoundedLog::makeRoom()
{
    // The first line may be partly written; half a line would spoil the next one too.
    const std::size_t keep = taken_ > 0 ? 1 : 0;
    while (waitingBytes_ > bounds_.waitingBytes && lines_.size() > keep + 1) {
        const auto begin = lines_.begin() + static_cast<std::ptrdiff_t>(keep);
        auto victim = std::find_if(begin, lines_.end(), [](const Line &line) {
            return line.kind->level <= EventLevel::Info;
        });
        if (victim == lines_.end())
            victim = begin;
        waitingBytes_ -= victim->text.size();
        countDropped(*victim->kind);
        lines_.erase(victim);
    }
}

void BoundedLog::reportDropped()
{
    const Millis now = clock_.now();
    if (dropped_.empty() || now < nextReport_)
        return;
    nextReport_ = now + dropReportEvery;
    Event event{&events::logLinesDropped, {}};
    for (const auto &[name, count] : dropped_)
        event.fields.emplace_back(std::string(name), std::to_string(count));
    dropped_.clear();
    write(event);
}

void BoundedLog::flush()
{
    reportDropped();
    while (!lines_.empty()) {
        const std::string &text = lines_.front().text;
        const std::size_t took = output_(std::string_view(text).substr(taken_));
        taken_ += took;
        waitingBytes_ -= took;
        if (taken_ < text.size())
            return;
        taken_ = 0;
        lines_.pop_front();
    }
}

EventSink BoundedLog::sink()
{
    return [this](const Event &event) { write(event); };
}

BoundedLog::Output descriptorOutput(int descriptor)
{
    return [descriptor](std::string_view bytes) -> std::size_t {
        pollfd question{descriptor, POLLOUT, 0};
        if (poll(&question, 1, 0) != 1 || (question.revents & POLLOUT) == 0)
            return 0;
        const ssize_t written =
            ::write(descriptor, bytes.data(), std::min(bytes.size(), atomicBytes));
        return written < 0 ? 0 : static_cast<std::size_t>(written);
    };
}

} // namespace cuminrail

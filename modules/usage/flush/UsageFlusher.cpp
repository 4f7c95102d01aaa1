#include "usage/flush/UsageFlusher.h"

namespace cuminrail {

namespace {
constexpr Millis retryDelay{1000};
} // namespace

UsageFlusher::UsageFlusher(TeamId team, InstanceIncarnation self, Hooks hooks)
    : team_(std::move(team)), self_(std::move(self)), hooks_(std::move(hooks))
{
    record_.window = hooks_.currentWindow();
    scheduleNext(hooks_.flushInterval());
}

std::string UsageFlusher::path() const
{
    const std::string incarnation = self_.instance.text() + "-" + std::to_string(self_.incarnation);
    return prefix(team_) + incarnation + (part_ == 0 ? "" : "." + std::to_string(part_));
}

void UsageFlusher::enterWindow()
{
    const WindowIndex current = hooks_.currentWindow();
    // The calendar may be set back; a window that has ended is not entered again.
    if (current <= record_.window)
        return;
    const bool isNext = current == record_.window + 1;
    record_.atPreviousStart = isNext ? record_.atWindowStart : record_.total;
    record_.atWindowStart = record_.total;
    record_.window = current;
}

void UsageFlusher::add(const CustomerId &customer, const UsageCounters &counters)
{
    enterWindow();
    record_.total[customer] += counters;
    dirty_ = true;
    changedSinceSend_ = true;
}

void UsageFlusher::scheduleNext(Millis span)
{
    const auto width = static_cast<std::uint64_t>(span.count() / 4 + 1);
    nextAt_ =
        hooks_.clock.now() + span - Millis(static_cast<std::int64_t>(hooks_.random() % width));
}

void UsageFlusher::stop()
{
    stopping_ = true;
    nextAt_ = hooks_.clock.now();
    record_.isFinal = true;
    // An instance that has never written has no object to finalise.
    dirty_ = dirty_ || version_ != 0;
    changedSinceSend_ = true;
}

void UsageFlusher::tick()
{
    if (busy_ || !dirty_ || hooks_.clock.now() < nextAt_)
        return;
    if (readBackDue_)
        readBack();
    else
        write();
}

void UsageFlusher::write()
{
    enterWindow();
    busy_ = true;
    changedSinceSend_ = false;
    sending_ = record_.total;
    hooks_.store.put({path(), record_.toText(), version_},
                     [this](const StoreReply &reply) { written(reply); });
}

void UsageFlusher::written(const StoreReply &reply)
{
    busy_ = false;
    if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::Unknown)
        mayBeStored_ = sending_;
    if (reply.status == StoreStatus::Ok) {
        version_ = reply.version;
        dirty_ = changedSinceSend_;
        scheduleNext(stopping_ ? Millis(0) : hooks_.flushInterval());
        return;
    }
    readBackDue_ = reply.status != StoreStatus::Unavailable;
    scheduleNext(retryDelay);
}

void UsageFlusher::readBack()
{
    busy_ = true;
    hooks_.store.get(path(), [this](const StoreReply &reply) { readDone(reply); });
}

void UsageFlusher::readDone(const StoreReply &reply)
{
    busy_ = false;
    scheduleNext(retryDelay);
    if (reply.status == StoreStatus::Ok && !reply.objects.empty()) {
        version_ = reply.objects.front().version;
        readBackDue_ = false;
        return;
    }
    if (reply.status != StoreStatus::NotFound)
        return;
    readBackDue_ = false;
    if (version_ != 0)
        startNewPart();
}

/**
    The merge considered this incarnation dead, kept its last counts for good and removed the
    object. Writing the cumulative counts again would count them twice, so counting restarts with
    the increase since then.
*/
void UsageFlusher::startNewPart()
{
    ++part_;
    version_ = 0;
    record_.total = usageIncrease(record_.total, mayBeStored_);
    record_.atWindowStart.clear();
    record_.atPreviousStart.clear();
    mayBeStored_.clear();
}

} // namespace cuminrail

#include "usage/flush/UsageFlusher.h"

namespace cuminrail {

namespace {
constexpr Millis retryAfter{1000};
} // namespace

UsageFlusher::UsageFlusher(TeamId team, InstanceLife self, Hooks hooks)
    : team_(std::move(team)), self_(std::move(self)), hooks_(std::move(hooks))
{
    record_.window = hooks_.currentWindow();
    later(hooks_.period());
}

std::string UsageFlusher::path() const
{
    const std::string life = self_.instance.text() + "-" + std::to_string(self_.incarnation);
    return prefix(team_) + life + (part_ == 0 ? "" : "." + std::to_string(part_));
}

void UsageFlusher::enterWindow()
{
    const WindowIndex current = hooks_.currentWindow();
    // The calendar may be set back; a window that was left is not entered again.
    if (current <= record_.window)
        return;
    const bool isNext = current == record_.window + 1;
    record_.atPreviousStart = isNext ? record_.atWindowStart : record_.total;
    record_.atWindowStart = record_.total;
    record_.window = current;
}

void UsageFlusher::add(const CustomerId &customer, const UsageFigures &figures)
{
    enterWindow();
    record_.total[customer] += figures;
    dirty_ = true;
    changedSinceSend_ = true;
}

void UsageFlusher::later(Millis span)
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
    // An instance that never counted has nothing to close.
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
        later(stopping_ ? Millis(0) : hooks_.period());
        return;
    }
    readBackDue_ = reply.status != StoreStatus::Unavailable;
    later(retryAfter);
}

void UsageFlusher::readBack()
{
    busy_ = true;
    hooks_.store.get(path(), [this](const StoreReply &reply) { readDone(reply); });
}

void UsageFlusher::readDone(const StoreReply &reply)
{
    busy_ = false;
    later(retryAfter);
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
    The merger took this life for dead, kept its last figures for good and removed the object.
    Writing the cumulative figures again would count them twice, so what follows is counted anew.
*/
void UsageFlusher::startNewPart()
{
    ++part_;
    version_ = 0;
    record_.total = usageBeyond(record_.total, mayBeStored_);
    record_.atWindowStart.clear();
    record_.atPreviousStart.clear();
    mayBeStored_.clear();
}

} // namespace cuminrail

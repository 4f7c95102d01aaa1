#include "ports/testing/FakeScheduler.h"

namespace cuminrail {

void FakeScheduler::at(Millis when, std::function<void()> action)
{
    const Millis due = when < now_ ? now_ : when;
    actions_.emplace(Key{due.count(), scheduled_++}, std::move(action));
}

void FakeScheduler::every(Millis period, std::function<void()> action)
{
    after(period, [this, period, action = std::move(action)] {
        action();
        every(period, action);
    });
}

void FakeScheduler::runUntil(Millis end)
{
    while (!actions_.empty() && actions_.begin()->first.when <= end.count()) {
        auto next = actions_.extract(actions_.begin());
        now_ = Millis(next.key().when);
        next.mapped()();
    }
    now_ = end;
}

} // namespace cuminrail

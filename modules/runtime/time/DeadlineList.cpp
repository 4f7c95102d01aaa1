#include "runtime/time/DeadlineList.h"

#include <algorithm>
#include <chrono>

namespace cuminrail {

Deadline::Deadline(DeadlineList &list, std::function<void()> onExpired)
    : list_(list), onExpired_(std::move(onExpired))
{
    list_.add(*this);
}

Deadline::~Deadline()
{
    list_.remove(*this);
}

void Deadline::setAfter(Millis span)
{
    setAt(list_.now() + span);
}

void Deadline::setAt(Millis instant)
{
    at_ = instant;
    list_.noteSet(instant);
}

DeadlineList::DeadlineList(boost::asio::io_context &io, Clock clock, Millis tick)
    : timer_(io), clock_(std::move(clock)), tick_(tick)
{ }

void DeadlineList::start()
{
    running_ = true;
    armTimer();
}

void DeadlineList::stop()
{
    running_ = false;
    timer_.cancel();
}

void DeadlineList::noteSet(Millis instant)
{
    if (running_ && std::max(instant, now() + tick_) < wakesAt_)
        armTimer();
}

void DeadlineList::armTimer()
{
    Millis earliest = Millis::never();
    for (const Deadline *deadline : deadlines_)
        earliest = std::min(earliest, deadline->at_);
    const Millis now = clock_.now();
    wakesAt_ = std::clamp(earliest, now + tick_, now + std::max(tick_, maxWait));
    timer_.expires_after(std::chrono::milliseconds((wakesAt_ - now).count()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error || !running_)
            return;
        sweep();
        armTimer();
    });
}

void DeadlineList::sweep()
{
    const Millis now = clock_.now();
    for (Deadline *deadline : deadlines_) {
        if (deadline->at_ <= now)
            firing_.push_back(deadline);
    }
    // A hook may destroy other deadlines, those about to fire among them: remove() nulls them.
    for (std::size_t i = 0; i < firing_.size(); ++i) {
        Deadline *deadline = firing_[i];
        if (deadline == nullptr || deadline->at_ > now)
            continue;
        deadline->clear();
        const auto hook = deadline->onExpired_;
        hook();
    }
    firing_.clear();
}

void DeadlineList::add(Deadline &deadline)
{
    deadline.index_ = deadlines_.size();
    deadlines_.push_back(&deadline);
}

void DeadlineList::remove(Deadline &deadline)
{
    deadlines_[deadline.index_] = deadlines_.back();
    deadlines_[deadline.index_]->index_ = deadline.index_;
    deadlines_.pop_back();
    std::replace(firing_.begin(), firing_.end(), &deadline, static_cast<Deadline *>(nullptr));
}

} // namespace cuminrail

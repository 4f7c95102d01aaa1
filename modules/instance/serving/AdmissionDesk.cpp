#include "instance/serving/AdmissionDesk.h"

#include <vector>

namespace cuminrail {

AdmissionDecision AdmissionDesk::submit(const AdmissionRequest &request, Millis now, WaitHook onEnd)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const AdmissionDecision decision = controller_.submit(request, now);
    if (decision.kind == AdmissionKind::Queued)
        waiting_.emplace(decision.ticket, std::move(onEnd));
    return decision;
}

void AdmissionDesk::firstToken(AdmissionTicket ticket, Millis now)
{
    std::unique_lock<std::mutex> lock(mutex_);
    notifyWaiting(controller_.firstToken(ticket, now), lock);
}

void AdmissionDesk::finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now)
{
    std::unique_lock<std::mutex> lock(mutex_);
    notifyWaiting(controller_.finished(ticket, outputTokens, now), lock);
}

void AdmissionDesk::cancel(AdmissionTicket ticket, Millis now)
{
    std::unique_lock<std::mutex> lock(mutex_);
    waiting_.erase(ticket);
    notifyWaiting(controller_.cancel(ticket, now), lock);
}

void AdmissionDesk::addCredit(CustomerIndex customer, const LocalShare &credit, Millis now)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const AdmissionChanges changes = controller_.addCredit(customer, credit, now);
    notifyWaiting(changes, lock);
}

void AdmissionDesk::tick(Millis now)
{
    std::unique_lock<std::mutex> lock(mutex_);
    notifyWaiting(controller_.tick(now), lock);
}

void AdmissionDesk::withController(const std::function<void(AdmissionController &)> &function)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    function(controller_);
}

void AdmissionDesk::notifyWaiting(const AdmissionChanges &changes,
                                  std::unique_lock<std::mutex> &lock)
{
    std::vector<std::pair<WaitHook, AdmissionEnd>> ends;
    const auto collect = [&](AdmissionTicket ticket, const AdmissionEnd &end) {
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end())
            return;
        ends.emplace_back(std::move(found->second), end);
        waiting_.erase(found);
    };
    for (const AdmissionTicket ticket : changes.admitted)
        collect(ticket, AdmissionEnd{true, RefusalCode::Overloaded, Millis(0)});
    for (const RefusedTicket &refused : changes.refused)
        collect(refused.ticket, AdmissionEnd{false, refused.code, refused.retryAfter});
    lock.unlock();
    for (const auto &[hook, end] : ends)
        hook(end);
}

} // namespace cuminrail

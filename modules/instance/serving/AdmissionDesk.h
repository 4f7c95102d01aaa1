#pragma once

#include "admission/AdmissionController.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace cuminrail {

/** The end of a wait for admission. */
struct AdmissionEnd
{
    bool isAdmitted = false;
    RefusalCode code = RefusalCode::Overloaded;
    Millis retryAfter;
};

/**
    The admission controller as request threads share it: one mutex, held for microseconds.

    Whoever waits leaves a hook, which is called once with the lock released, on whichever thread
    made the change; the hook hands over to its own thread.
*/
class AdmissionDesk
{
public:
    using WaitHook = std::function<void(const AdmissionEnd &)>;

    AdmissionDesk() = default;
    AdmissionDesk(const AdmissionDesk &) = delete;
    AdmissionDesk &operator=(const AdmissionDesk &) = delete;

    /** Submits a request; the hook is kept only if the decision is Queued. */
    AdmissionDecision submit(const AdmissionRequest &request, Millis now, WaitHook onEnd);
    void firstToken(AdmissionTicket ticket, Millis now);
    void finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now);
    /** Gives up a ticket that waits or runs; its hook is not called any more. */
    void cancel(AdmissionTicket ticket, Millis now);
    /** Adds credit that another instance handed over, and admits whom it lets through. */
    void addCredit(CustomerIndex customer, const LocalShare &credit, Millis now);
    /** Control thread, every 10 ms or so. */
    void tick(Millis now);

    /** Calls a function with the controller under the lock: settings, shares, figures. */
    void withController(const std::function<void(AdmissionController &)> &function);

private:
    void deliver(const AdmissionChanges &changes, std::unique_lock<std::mutex> &lock);

    std::mutex mutex_;
    AdmissionController controller_;
    std::unordered_map<AdmissionTicket, WaitHook> waiting_;
};

} // namespace cuminrail

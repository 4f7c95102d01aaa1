#pragma once

#include "admission/AdmissionController.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace cuminrail {

/** The outcome of waiting for admission. */
struct AdmissionEnd
{
    bool isAdmitted = false;
    RefusalCode code = RefusalCode::Overloaded;
    Millis retryAfter;
};

/**
    Thread-safe access to the admission controller, shared by all request threads. One mutex
    guards it and is held for microseconds.

    A queued request registers a hook, which is called once, without the lock, on the thread that
    caused the change. The hook must post to the request's own thread.
*/
class AdmissionDesk
{
public:
    using WaitHook = std::function<void(const AdmissionEnd &)>;

    AdmissionDesk() = default;
    AdmissionDesk(const AdmissionDesk &) = delete;
    AdmissionDesk &operator=(const AdmissionDesk &) = delete;

    /** Submits a request. The hook is stored only if the decision is Queued. */
    AdmissionDecision submit(const AdmissionRequest &request, Millis now, WaitHook onEnd);
    void firstToken(AdmissionTicket ticket, Millis now);
    void finished(AdmissionTicket ticket, std::uint32_t outputTokens, Millis now);
    /** Cancels a waiting or running ticket. Its hook is no longer called. */
    void cancel(AdmissionTicket ticket, Millis now);
    /** Adds credit transferred by another instance and admits the requests that it covers. */
    void addCredit(CustomerIndex customer, const LocalShare &credit, Millis now);
    /** Called on the control thread about every 10 ms. */
    void tick(Millis now);

    /** Calls a function with the controller locked, for settings, shares and statistics. */
    void withController(const std::function<void(AdmissionController &)> &function);

private:
    void notifyWaiting(const AdmissionChanges &changes, std::unique_lock<std::mutex> &lock);

    std::mutex mutex_;
    AdmissionController controller_;
    std::unordered_map<AdmissionTicket, WaitHook> waiting_;
};

} // namespace cuminrail

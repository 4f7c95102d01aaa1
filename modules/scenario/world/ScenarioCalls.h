#pragma once

#include "dispatch/claims/ClaimManager.h"
#include "dispatch/retry/RetryPolicy.h"
#include "lease/manager/DutyLease.h"
#include "ports/testing/testing.h"

#include <functional>
#include <string>

namespace cuminrail {

/** A call that a caller sends to an instance. */
struct ScenarioCall
{
    std::string instance;
    std::string customer;
    /** Name of the work; also the Idempotency-Key of a call that must not run twice. */
    std::string work;
    /** Whether the call may safely run twice. */
    bool isIdempotent = false;
    /** The incarnation of the instance that accepted the call, and the name of this attempt. */
    std::string life;
    std::string attempt;
};

/** The response that a caller got. */
struct CallerAnswer
{
    ScenarioCall call;
    Verdict verdict = Verdict::NotRun;
    std::string body;
};

/** Processes calls in one instance: claim, send, retry according to the verdict, respond. */
class ScenarioCalls
{
public:
    struct Hooks
    {
        ObjectStore store;
        RandomHook random;
        Clock clock;
        ClaimManager::IncarnationEndedHook isGone;
        /** Sends a request to the service. */
        std::function<void(const ServiceRun &, std::function<void(const ServiceReply &)>)> send;
        /** Sends the response to the caller. */
        std::function<void(const CallerAnswer &)> answer;
    };

    ScenarioCalls(const InstanceIncarnation &self, Hooks hooks);
    ScenarioCalls(const ScenarioCalls &) = delete;
    ScenarioCalls &operator=(const ScenarioCalls &) = delete;

    void begin(const ScenarioCall &call);
    /** Returns true when no call awaits its response and every outcome of a run is stored. */
    bool isQuiet() const { return activeCalls_ == 0 && claims_.pendingWrites() == 0; }
    void tick() { claims_.tick(hooks_.clock.now()); }

private:
    struct ActiveCall
    {
        ScenarioCall call;
        std::string claimToken;
        RetryTraits traits;
    };

    void handleClaimResult(ActiveCall active, const ClaimResult &result);
    void send(const ActiveCall &active);
    void handleReply(ActiveCall active, const ServiceReply &reply);
    void respond(const ActiveCall &active, Verdict verdict, const std::string &body);

    Hooks hooks_;
    ClaimManager claims_;
    RetryBudget retryBudget_;
    std::size_t activeCalls_ = 0;
};

} // namespace cuminrail

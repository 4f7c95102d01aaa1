#pragma once

#include "dispatch/claims/ClaimManager.h"
#include "dispatch/retry/RetryPolicy.h"
#include "lease/manager/DutyLease.h"
#include "ports/testing/testing.h"

#include <functional>
#include <string>

namespace cuminrail {

/** What a caller asks of an instance. */
struct ScenarioCall
{
    std::string instance;
    std::string customer;
    /** Also the Idempotency-Key of a call that must not run twice. */
    std::string work;
    /** Running it twice does no harm. */
    bool isIdempotent = false;
    /** The life of the instance that took the call, and the name of this try. */
    std::string life;
    std::string attempt;
};

/** What a caller was told. */
struct CallerAnswer
{
    ScenarioCall call;
    Verdict verdict = Verdict::NotRun;
    std::string body;
};

/** The way of a call through one instance: claim, send, retry by the verdict, answer. */
class ScenarioCalls
{
public:
    struct Hooks
    {
        ObjectStore store;
        RandomHook random;
        Clock clock;
        ClaimManager::IncarnationEndedHook isGone;
        /** Sends to the service. */
        std::function<void(const ServiceRun &, std::function<void(const ServiceReply &)>)> send;
        /** Answers the caller. */
        std::function<void(const CallerAnswer &)> answer;
    };

    ScenarioCalls(const InstanceIncarnation &self, Hooks hooks);
    ScenarioCalls(const ScenarioCalls &) = delete;
    ScenarioCalls &operator=(const ScenarioCalls &) = delete;

    void begin(const ScenarioCall &call);
    /** Returns true when no call waits for its answer and every end of a run is written. */
    bool isQuiet() const { return inProgress_ == 0 && claims_.pendingWrites() == 0; }
    void tick() { claims_.tick(hooks_.clock.now()); }

private:
    struct Running
    {
        ScenarioCall call;
        std::string claim;
        RetryTraits traits;
    };

    void decided(Running running, const ClaimResult &result);
    void send(const Running &running);
    void replied(Running running, const ServiceReply &reply);
    void answer(const Running &running, Verdict verdict, const std::string &body);

    Hooks hooks_;
    ClaimManager claims_;
    RetryBudget budget_;
    std::size_t inProgress_ = 0;
};

} // namespace cuminrail

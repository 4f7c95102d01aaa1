#include <doctest/doctest.h>

#include "dataplane/waiting/CallerTimeout.h"
#include "dataplane/waiting/DeferredPrompts.h"
#include "dataplane/waiting/PromptDeferral.h"

using namespace cuminrail;

// Guards against queues in which every prompt is late: prompts arrive faster than engines can
// prefill them, and each one that is sent delays all that follow, until no caller gets a response
// in time although the engines are always busy.
TEST_CASE("a prompt is sent while it can be on time, or when an engine has room for late ones")
{
    struct Row
    {
        const char *what;
        double waitMillis;
        double firstEventMillis;
        int elapsed;
        PromptDecision decision;
    };
    const Row rows[] = {
        {"an idle engine", 0, 300, 0, PromptDecision::Send},
        {"barely on time", 400, 700, 20, PromptDecision::Send},
        {"late, and others wait at the engine", 500, 800, 0, PromptDecision::Defer},
        {"late because it was deferred before", 100, 400, 400, PromptDecision::Defer},
        {"late only because of its own size", 0, 1500, 0, PromptDecision::Send},
        {"late, but the engine has room now", 40, 400, 1500, PromptDecision::Send},
        {"its caller disconnects before it could start", 500, 900, 2900, PromptDecision::Refuse},
        {"its caller disconnects although the engine has room", 0, 500, 2800,
         PromptDecision::Refuse},
        {"so long that its caller may disconnect, but the engine has room", 0, 5000, 5,
         PromptDecision::Send},
        {"its caller still waits by then", 500, 700, 2900, PromptDecision::Defer},
    };
    const PromptDeferral deferral;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        PromptOutlook outlook;
        outlook.waitMillis = row.waitMillis;
        outlook.firstEventMillis = row.firstEventMillis;
        outlook.elapsed = Millis(row.elapsed);
        outlook.goal = Millis(800);
        outlook.callerTimeout = Millis(3200);
        CHECK(deferral.decide(outlook) == row.decision);
    }
}

// Guards against prompts that wait in vain: for seconds, callers send more than engines can
// prefill. A caller that is rejected at once can retry when there is room; one that waits for three
// seconds first cannot.
TEST_CASE("a prompt is rejected at once when those deferred before it wait in vain")
{
    const PromptDeferral deferral;
    for (const int queueAge : {0, 1000, 2000, 2700, 2900, 3200}) {
        CAPTURE(queueAge);
        PromptOutlook outlook;
        outlook.waitMillis = 500;
        outlook.firstEventMillis = 900;
        outlook.goal = Millis(800);
        outlook.callerTimeout = Millis(3200);
        outlook.queueAge = Millis(queueAge);
        const bool cannotSucceed = queueAge + 400 > 3200;
        CHECK(deferral.decide(outlook)
              == (cannotSucceed ? PromptDecision::Refuse : PromptDecision::Defer));
        outlook.waitMillis = 0;
        outlook.firstEventMillis = 400;
        CHECK(deferral.decide(outlook) == PromptDecision::Send);
    }
}

// Guards against a wrong age of a route's queue when prompts that arrived at the same time, or none
// that is known, are removed.
TEST_CASE("the age of a route's oldest deferred prompt follows additions and removals")
{
    DeferredPrompts deferred;
    CHECK(deferred.oldestAge("review", Millis(5000)) == Millis(0));
    deferred.add("review", Millis(1000));
    deferred.add("review", Millis(1000));
    deferred.add("review", Millis(3000));
    deferred.add("query", Millis(4000));
    CHECK(deferred.oldestAge("review", Millis(5000)) == Millis(4000));
    deferred.remove("review", Millis(1000));
    CHECK(deferred.oldestAge("review", Millis(5000)) == Millis(4000));
    deferred.remove("review", Millis(1000));
    CHECK(deferred.oldestAge("review", Millis(5000)) == Millis(2000));
    deferred.remove("review", Millis(9999));
    CHECK(deferred.oldestAge("query", Millis(5000)) == Millis(1000));
}

// Guards against prompts kept for callers that have disconnected, or rejected while they still
// wait.
TEST_CASE("a caller's time-out is the longest of two seconds, four targets and eight gap targets")
{
    struct Row
    {
        int goal;
        int gapGoal;
        int timeoutMillis;
    };
    for (const Row &row : {Row{400, 200, 2000}, Row{800, 250, 3200}, Row{400, 400, 3200}}) {
        CAPTURE(row.timeoutMillis);
        CHECK(callerTimeout(Millis(row.goal), Millis(row.gapGoal)) == Millis(row.timeoutMillis));
    }
}

#include <doctest/doctest.h>

#include "dataplane/waiting/CallerPatience.h"
#include "dataplane/waiting/HeldPrompts.h"
#include "dataplane/waiting/PromptDeferral.h"

using namespace cuminrail;

// Prompts come faster than engines read them. Sent all the same, each one delays all that follow,
// until callers get nothing in time although engines are busy all the while.
TEST_CASE("a prompt goes out while it can be on time, or where there is room")
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
        {"just on time", 400, 700, 20, PromptDecision::Send},
        {"late, and others wait there", 500, 800, 0, PromptDecision::Hold},
        {"late because it waited here", 100, 400, 400, PromptDecision::Hold},
        {"late by its own size alone", 0, 1500, 0, PromptDecision::Send},
        {"late, but there is room now", 40, 400, 1500, PromptDecision::Send},
        {"its caller leaves before it could begin", 500, 900, 2900, PromptDecision::Refuse},
        {"its caller leaves, although there is room", 0, 500, 2800, PromptDecision::Refuse},
        {"so long that its caller might leave, but there is room", 0, 5000, 5,
         PromptDecision::Send},
        {"its caller is still there by then", 500, 700, 2900, PromptDecision::Hold},
    };
    const PromptDeferral deferral;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        PromptOutlook outlook;
        outlook.waitMillis = row.waitMillis;
        outlook.firstEventMillis = row.firstEventMillis;
        outlook.elapsed = Millis(row.elapsed);
        outlook.goal = Millis(800);
        outlook.patience = Millis(3200);
        CHECK(deferral.decide(outlook) == row.decision);
    }
}

// Planners send more than engines can read for seconds. One that is told at once can come back when
// there is room, one that waits for three seconds in vain cannot.
TEST_CASE("a prompt is refused at once when those before it wait in vain")
{
    const PromptDeferral deferral;
    for (const int queueAge : {0, 1000, 2000, 2700, 2900, 3200}) {
        CAPTURE(queueAge);
        PromptOutlook outlook;
        outlook.waitMillis = 500;
        outlook.firstEventMillis = 900;
        outlook.goal = Millis(800);
        outlook.patience = Millis(3200);
        outlook.queueAge = Millis(queueAge);
        const bool isHopeless = queueAge + 400 > 3200;
        CHECK(deferral.decide(outlook)
              == (isHopeless ? PromptDecision::Refuse : PromptDecision::Hold));
        outlook.waitMillis = 0;
        outlook.firstEventMillis = 400;
        CHECK(deferral.decide(outlook) == PromptDecision::Send);
    }
}

TEST_CASE("the oldest prompt that a route keeps back tells how long others wait")
{
    HeldPrompts held;
    CHECK(held.oldestAge("review", Millis(5000)) == Millis(0));
    held.add("review", Millis(1000));
    held.add("review", Millis(1000));
    held.add("review", Millis(3000));
    held.add("query", Millis(4000));
    CHECK(held.oldestAge("review", Millis(5000)) == Millis(4000));
    held.remove("review", Millis(1000));
    CHECK(held.oldestAge("review", Millis(5000)) == Millis(4000));
    held.remove("review", Millis(1000));
    CHECK(held.oldestAge("review", Millis(5000)) == Millis(2000));
    held.remove("review", Millis(9999));
    CHECK(held.oldestAge("query", Millis(5000)) == Millis(1000));
}

TEST_CASE("callers wait two seconds, four goals or eight good pauses, whichever is longest")
{
    struct Row
    {
        int goal;
        int gapGoal;
        int patience;
    };
    for (const Row &row : {Row{400, 200, 2000}, Row{800, 250, 3200}, Row{400, 400, 3200}}) {
        CAPTURE(row.patience);
        CHECK(callerPatience(Millis(row.goal), Millis(row.gapGoal)) == Millis(row.patience));
    }
}

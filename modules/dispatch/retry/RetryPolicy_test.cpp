#include "dispatch/dispatch.h"

#include "core/guards/Guards.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

constexpr Millis now{1000000};

RetryTraits traitsOf(bool idempotent)
{
    RetryTraits traits;
    traits.idempotent = idempotent;
    traits.deadline = now + Millis::seconds(10);
    return traits;
}

AttemptOutcome outcomeOf(Verdict verdict)
{
    return {verdict, {"engine-1", "connection reset"}};
}

} // namespace

// Guards against a retry of a non-idempotent call that may have run, and against a retry that is
// withheld without need.
TEST_CASE("the verdict and whether the call is idempotent decide about a retry")
{
    struct Row
    {
        bool idempotent;
        Verdict verdict;
        RetryDecision expected;
    };
    const std::vector<Row> rows = {
        {true, Verdict::NotRun, RetryDecision::Retry},
        {true, Verdict::MayHaveRun, RetryDecision::Retry},
        {true, Verdict::Ran, RetryDecision::Retry},
        {false, Verdict::NotRun, RetryDecision::Retry},
        {false, Verdict::MayHaveRun, RetryDecision::MayHaveRun},
        {false, Verdict::Ran, RetryDecision::MayHaveRun},
    };
    for (const Row &row : rows) {
        CAPTURE(row.idempotent);
        CAPTURE(verdictNames.name(row.verdict));
        RetryBudget budget;
        CHECK(decideRetry(traitsOf(row.idempotent), outcomeOf(row.verdict), now, budget)
              == row.expected);
    }
}

// The connection breaks after an invoice was sent and the billing server has received it. Retried,
// the client would be billed twice.
TEST_CASE("without the verdict guard an invoice would be sent twice")
{
    RetryBudget budget;
    const DisabledGuard off(Guard::VerdictBeforeRetry);
    CHECK(decideRetry(traitsOf(false), outcomeOf(Verdict::MayHaveRun), now, budget)
          == RetryDecision::Retry);
}

// A stream breaks in the middle and is restarted at another upstream: the caller would receive the
// beginning twice in one response.
TEST_CASE("no request is retried once part of a response has been sent")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.responseStarted = true;
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), now, budget)
          == RetryDecision::ResponseStarted);
}

// Guards against load from retries whose response would come too late for the caller.
TEST_CASE("no retry starts that cannot complete before the deadline")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.minAttemptDuration = Millis(500);
    traits.deadline = now + Millis(501);
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), now, budget) == RetryDecision::Retry);
    traits.deadline = now + Millis(500);
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), now, budget)
          == RetryDecision::DeadlineNear);
}

// Guards against a request that is retried without end while the budget lasts.
TEST_CASE("the number of attempts per request is limited")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.attemptsMade = maxAttempts;
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), now, budget)
          == RetryDecision::AttemptsExhausted);
}

// All engines of a model are overloaded and refuse. If each of a thousand requests were retried
// twice, the engines would receive three thousand and never recover.
TEST_CASE("retries stay a tenth of the load when all requests fail")
{
    constexpr int requests = 1000;
    constexpr int reserve = 10;
    RetryBudget budget(10, reserve);
    int retries = 0;
    for (int request = 0; request < requests; ++request) {
        budget.countFirstAttempt();
        RetryTraits traits = traitsOf(true);
        for (; traits.attemptsMade < maxAttempts; ++traits.attemptsMade) {
            if (decideRetry(traits, outcomeOf(Verdict::NotRun), now, budget)
                == RetryDecision::Retry)
                ++retries;
        }
    }
    CHECK(retries <= requests / 10 + reserve);
    CHECK(retries >= requests / 10);
}

// A night without load must not accumulate a burst of retries for the overload of the morning.
TEST_CASE("an idle instance accumulates no more than its reserve")
{
    RetryBudget budget(10, 5);
    for (int request = 0; request < 100000; ++request)
        budget.countFirstAttempt();
    CHECK(budget.available() == 5);
}

#include "dispatch/dispatch.h"

#include "core/guards/Guards.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

constexpr Millis noon{1000000};

RetryTraits traitsOf(bool idempotent)
{
    RetryTraits traits;
    traits.idempotent = idempotent;
    traits.deadline = noon + Millis::seconds(10);
    return traits;
}

AttemptOutcome outcomeOf(Verdict verdict)
{
    return {verdict, {"engine-1", "connection reset"}};
}

} // namespace

TEST_CASE("the verdict and the call's nature decide")
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
        CHECK(decideRetry(traitsOf(row.idempotent), outcomeOf(row.verdict), noon, budget)
              == row.expected);
    }
}

// An invoice's connection breaks after it was sent and the billing server has it. Sent again, the
// client would be billed twice.
TEST_CASE("without the verdict's rule an invoice would be sent twice")
{
    RetryBudget budget;
    const DisabledGuard off(Guard::VerdictBeforeRetry);
    CHECK(decideRetry(traitsOf(false), outcomeOf(Verdict::MayHaveRun), noon, budget)
          == RetryDecision::Retry);
}

// A stream breaks in the middle and is started anew elsewhere: the caller would see the beginning
// twice, as one answer.
TEST_CASE("nothing is sent again once a byte of an answer went out")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.answerStarted = true;
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), noon, budget)
          == RetryDecision::AnswerStarted);
}

TEST_CASE("no retry starts that cannot end before the deadline")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.shortestAttempt = Millis(500);
    traits.deadline = noon + Millis(501);
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), noon, budget) == RetryDecision::Retry);
    traits.deadline = noon + Millis(500);
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), noon, budget)
          == RetryDecision::DeadlineNear);
}

TEST_CASE("attempts of one request are bounded")
{
    RetryBudget budget;
    RetryTraits traits = traitsOf(true);
    traits.attemptsMade = maxAttempts;
    CHECK(decideRetry(traits, outcomeOf(Verdict::NotRun), noon, budget)
          == RetryDecision::AttemptsExhausted);
}

// All engines of a model are overloaded and refuse. If each of a thousand requests came back
// twice, the engines would see three thousand and never recover.
TEST_CASE("retries stay a tenth of the load when everything fails")
{
    constexpr int requests = 1000;
    constexpr int reserve = 10;
    RetryBudget budget(10, reserve);
    int retries = 0;
    for (int request = 0; request < requests; ++request) {
        budget.countFirstAttempt();
        RetryTraits traits = traitsOf(true);
        for (; traits.attemptsMade < maxAttempts; ++traits.attemptsMade) {
            if (decideRetry(traits, outcomeOf(Verdict::NotRun), noon, budget)
                == RetryDecision::Retry)
                ++retries;
        }
    }
    CHECK(retries <= requests / 10 + reserve);
    CHECK(retries >= requests / 10);
}

// A quiet night must not save up a burst of retries for the morning's overload.
TEST_CASE("an idle instance saves up no more than its reserve")
{
    RetryBudget budget(10, 5);
    for (int request = 0; request < 100000; ++request)
        budget.countFirstAttempt();
    CHECK(budget.available() == 5);
}

#include "dispatch/retry/RetryPolicy.h"

#include "core/guards/Guards.h"

namespace cuminrail {

RetryDecision decideRetry(const RetryTraits &traits, const AttemptOutcome &lastOutcome, Millis now,
                          RetryBudget &budget)
{
    // A lodging whose connection broke after the first byte may lie at the registry already. Sent
    // again it would be lodged twice; the caller is told that it may have run instead.
    const bool couldRunTwice = !lastOutcome.isSafeToRepeat() && !traits.idempotent;
    if (couldRunTwice && guardEnabled(Guard::VerdictBeforeRetry))
        return RetryDecision::MayHaveRun;
    if (traits.answerStarted)
        return RetryDecision::AnswerStarted;
    if (now + traits.shortestAttempt >= traits.deadline)
        return RetryDecision::DeadlineNear;
    if (traits.attemptsMade >= maxAttempts)
        return RetryDecision::AttemptsExhausted;
    if (!budget.tryTakeRetry())
        return RetryDecision::BudgetExhausted;
    return RetryDecision::Retry;
}

} // namespace cuminrail

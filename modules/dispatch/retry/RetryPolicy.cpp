#include "dispatch/retry/RetryPolicy.h"

#include "core/guards/Guards.h"

namespace cuminrail {

RetryDecision decideRetry(const RetryTraits &traits, const AttemptOutcome &lastOutcome, Millis now,
                          RetryBudget &budget)
{
    // A filing whose connection broke after the first byte may have reached the registry already.
    // Retried, it would be filed twice; the caller is told instead that it may have run.
    const bool couldRunTwice = !lastOutcome.isSafeToRepeat() && !traits.idempotent;
    if (couldRunTwice && guardEnabled(Guard::VerdictBeforeRetry))
        return RetryDecision::MayHaveRun;
    if (traits.responseStarted)
        return RetryDecision::ResponseStarted;
    if (now + traits.minAttemptDuration >= traits.deadline)
        return RetryDecision::DeadlineNear;
    if (traits.attemptsMade >= maxAttempts)
        return RetryDecision::AttemptsExhausted;
    if (!budget.tryAcquireRetry())
        return RetryDecision::BudgetExhausted;
    return RetryDecision::Retry;
}

} // namespace cuminrail

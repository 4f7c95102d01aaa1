#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "dispatch/retry/RetryBudget.h"

#include <cstdint>

namespace cuminrail {

/** What of a request matters to whether it may be sent again. */
struct RetryTraits
{
    /** Running it twice does no harm: completions, and service calls that settings call repeatable.
     */
    bool idempotent = false;
    /** A byte of an answer went to the caller; another attempt's answer would be mixed with it. */
    bool answerStarted = false;
    /** When the answer is of no use any more, on this machine's clock. */
    Millis deadline = Millis::never();
    /** How long an attempt takes at the least; no retry starts with less time left. */
    Millis shortestAttempt{0};
    std::uint32_t attemptsMade = 1;
};

enum class RetryDecision : std::uint8_t {
    Retry,
    /** Give up: another attempt could run the request twice. */
    MayHaveRun,
    /** Give up: part of an answer has gone out. */
    AnswerStarted,
    /** Give up: no time is left. */
    DeadlineNear,
    /** Give up: enough attempts were made. */
    AttemptsExhausted,
    /** Give up: retries already are their full share of the instance's load. */
    BudgetExhausted,
};

inline constexpr NameTable<RetryDecision, 6> retryDecisionNames{{{
    {RetryDecision::Retry, "retry"},
    {RetryDecision::MayHaveRun, "may-have-run"},
    {RetryDecision::AnswerStarted, "answer-started"},
    {RetryDecision::DeadlineNear, "deadline-near"},
    {RetryDecision::AttemptsExhausted, "attempts-exhausted"},
    {RetryDecision::BudgetExhausted, "budget-exhausted"},
}}};

/** Attempts that one request gets at most, the first included. */
inline constexpr std::uint32_t maxAttempts = 3;

/**
    Decides whether a request whose last attempt failed is sent again.

    Takes a retry out of the budget exactly when it returns RetryDecision::Retry.
*/
RetryDecision decideRetry(const RetryTraits &traits, const AttemptOutcome &lastOutcome, Millis now,
                          RetryBudget &budget);

} // namespace cuminrail

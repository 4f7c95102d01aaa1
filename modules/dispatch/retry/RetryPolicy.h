#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "dispatch/retry/RetryBudget.h"

#include <cstdint>

namespace cuminrail {

/** The properties of a request that determine whether it may be retried. */
struct RetryTraits
{
    /**
        Running it twice does no harm: completions, and service calls marked repeatable in the
        settings.
    */
    bool idempotent = false;
    /**
        Part of a response has been sent to the caller; the response of another attempt would be
        mixed with it.
    */
    bool responseStarted = false;
    /** The time after which the response is of no use, on this machine's clock. */
    Millis deadline = Millis::never();
    /** Shortest duration of an attempt; no retry starts with less time remaining. */
    Millis minAttemptDuration{0};
    std::uint32_t attemptsMade = 1;
};

enum class RetryDecision : std::uint8_t {
    Retry,
    /** Give up: another attempt could run the request twice. */
    MayHaveRun,
    /** Give up: part of a response has been sent. */
    ResponseStarted,
    /** Give up: too little time remains. */
    DeadlineNear,
    /** Give up: the maximum number of attempts was made. */
    AttemptsExhausted,
    /** Give up: retries already take their full share of the instance's load. */
    BudgetExhausted,
};

inline constexpr NameTable<RetryDecision, 6> retryDecisionNames{{{
    {RetryDecision::Retry, "retry"},
    {RetryDecision::MayHaveRun, "may-have-run"},
    {RetryDecision::ResponseStarted, "answer-started"},
    {RetryDecision::DeadlineNear, "deadline-near"},
    {RetryDecision::AttemptsExhausted, "attempts-exhausted"},
    {RetryDecision::BudgetExhausted, "budget-exhausted"},
}}};

/** Maximum attempts per request, the first included. */
inline constexpr std::uint32_t maxAttempts = 3;

/**
    Decides whether a request whose last attempt failed is retried.

    Takes a retry out of the budget exactly when it returns RetryDecision::Retry.
*/
RetryDecision decideRetry(const RetryTraits &traits, const AttemptOutcome &lastOutcome, Millis now,
                          RetryBudget &budget);

} // namespace cuminrail

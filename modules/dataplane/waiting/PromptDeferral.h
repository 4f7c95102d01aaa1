#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** Estimates for a prompt if it were sent to the best engine now, with its time limits. */
struct PromptOutlook
{
    /** Estimated wait for other prompts there, and estimated total time to its first event. */
    double waitMillis = 0;
    double firstEventMillis = 0;
    /** Time since the request arrived. */
    Millis elapsed;
    /** Latency target of the first event, counted from the request's arrival. */
    Millis goal;
    /** Time after which the caller disconnects, counted from the request's arrival. */
    Millis callerTimeout;
    /** Age of the route's oldest deferred prompt; set for a prompt that is not deferred yet. */
    Millis queueAge;
};

enum class PromptDecision : std::uint8_t {
    Send,
    /** It would be late and make others late: it waits at the instance until an engine has room. */
    Defer,
    /**
        Its caller will disconnect before the first event, or the prompts deferred before it have
        waited here so long that it would wait in vain too.
    */
    Refuse,
};

struct DeferralSettings
{
    /**
        A prompt counts as late if its first event is estimated after this share of its latency
        target: the rest is a margin for delays that the estimate does not cover.
    */
    double goalShare = 0.9;
    /**
        An engine at which a prompt would wait no longer than this has room for late prompts: its
        pending prefill is shorter than that of the private part of a typical long prompt.
    */
    double idleWaitMillis = 60;
};

/**
    Decides whether a prompt is sent to an engine, deferred or rejected.

    When prompts arrive faster than engines can prefill them, each one that is sent lengthens the
    queue for all that follow. Soon all are late by the same time, and the engines work only for
    callers who no longer need the response, although most prompts could be on time. So a prompt
    that will be late anyway is deferred while engines are busy. Those that follow find short queues
    and are on time.
*/
class PromptDeferral
{
public:
    explicit PromptDeferral(DeferralSettings settings = {}) : settings_(settings) { }

    PromptDecision decide(const PromptOutlook &outlook) const;

private:
    DeferralSettings settings_;
};

} // namespace cuminrail

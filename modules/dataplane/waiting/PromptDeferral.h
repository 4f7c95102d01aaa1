#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** What can be said of a prompt if it were sent to the engine that suits it best. */
struct PromptOutlook
{
    /** How long it would wait there behind others, and in all until its first event. */
    double waitMillis = 0;
    double firstEventMillis = 0;
    /** Since the request came. */
    Millis elapsed;
    /** The time, from then on, in which an answer has its full worth. */
    Millis goal;
    /** The time after which its caller has left. */
    Millis patience;
    /** For a prompt that is not kept back yet: how long the oldest of its route has been. */
    Millis queueAge;
};

enum class PromptDecision : std::uint8_t {
    Send,
    /** It would be late, and make others late: it waits at the instance until there is room. */
    Hold,
    /**
        Its caller will have left before anything can be answered, or those before it have waited
        here so long that it will.
    */
    Refuse,
};

struct DeferralSettings
{
    /**
        A prompt counts as late if its first event is expected after this share of its goal: the
        rest is for what the estimate does not see.
    */
    double goalShare = 0.9;
    /**
        An engine at which a prompt would wait no longer than this has room for late ones: it has
        less to read than a usual long prompt's own part.
    */
    double idleWaitMillis = 60;
};

/**
    Decides whether a prompt goes to an engine now.

    When prompts come faster than engines read them, each one that is sent lengthens the queue there
    for all that follow. Soon everything is late by the same time and the engines work only for
    callers who have no use for the answer any more, although there would be room for most of them.
    So a prompt that will be late anyway is kept back while engines are busy. The ones that come
    next find short queues and are on time.
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

#pragma once

#include "core/names/NameTable.h"

#include <cstdint>

namespace cuminrail {

/** What a request waits for before it can go on. */
enum class RequestStep : std::uint8_t {
    /** Nothing: it is being worked on, or has ended. */
    None,
    CustomerQuota,
    StreamOrigin,
    UpstreamCredit,
    PrefillEstimates,
    /** A deferred or held prompt, or a request without a carrier, is tried again. */
    Retry,
    UpstreamAttempt,
    CarriedCall,
    /** Whether an upstream that broke off has ended. */
    UpstreamProbe,
};

inline constexpr NameTable<RequestStep, 9> requestStepNames{{{
    {RequestStep::None, "none"},
    {RequestStep::CustomerQuota, "customer-quota"},
    {RequestStep::StreamOrigin, "stream-origin"},
    {RequestStep::UpstreamCredit, "upstream-credit"},
    {RequestStep::PrefillEstimates, "prefill-estimates"},
    {RequestStep::Retry, "retry"},
    {RequestStep::UpstreamAttempt, "upstream-attempt"},
    {RequestStep::CarriedCall, "carried-call"},
    {RequestStep::UpstreamProbe, "upstream-probe"},
}}};

/**
    The one completion that a request waits for.

    A completion that comes twice, or after another step began, no longer matches and must have no
    effect: it would send the request again while its attempt is in progress.
*/
class PendingStep
{
public:
    using Ticket = std::uint64_t;

    /** Begins a step; the completion of the one before no longer matches. */
    Ticket begin(RequestStep step)
    {
        step_ = step;
        return ++ticket_;
    }
    /** Returns whether a step has begun and is not over. */
    bool isPending() const { return step_ != RequestStep::None; }
    bool isCurrent(Ticket ticket) const { return isPending() && ticket == ticket_; }
    /** Ends the step that the ticket belongs to. Returns false if it is not the current one. */
    bool complete(Ticket ticket)
    {
        if (!isCurrent(ticket))
            return false;
        cancel();
        return true;
    }
    /** Ends the current step, if there is one; its completion no longer matches. */
    void cancel() { step_ = RequestStep::None; }
    RequestStep step() const { return step_; }

private:
    RequestStep step_ = RequestStep::None;
    Ticket ticket_ = 0;
};

} // namespace cuminrail

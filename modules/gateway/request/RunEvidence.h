#pragma once

#include "carriage/messages/CarriageMessages.h"
#include "core/names/NameTable.h"
#include "core/verdict/Verdict.h"

#include <cstdint>

namespace cuminrail {

/** What shows that an attempt did not run its request. */
enum class NotRunProof : std::uint8_t {
    /** Nothing does: it may have run. */
    None,
    /** No byte of the request was written to a connection. */
    NothingWritten,
    /** The upstream's whole response bears the request's identity and states it. */
    UpstreamStatement,
    /** The instance that was to carry the request has proof, and sent no part of a response. */
    CarrierStatement,
    /** The engine was sent the prompt to prefill, which is not a run. */
    PrefillOnly,
};

inline constexpr NameTable<NotRunProof, 5> notRunProofNames{{{
    {NotRunProof::None, "none"},
    {NotRunProof::NothingWritten, "nothing-written"},
    {NotRunProof::UpstreamStatement, "upstream-statement"},
    {NotRunProof::CarrierStatement, "carrier-statement"},
    {NotRunProof::PrefillOnly, "prefill-only"},
}}};

/** What is known of an attempt at an upstream. */
struct AttemptFacts
{
    /** NotRun if no byte of the request was written. */
    Verdict connection = Verdict::MayHaveRun;
    bool isPrefill = false;
    /** A response was received whole. */
    bool isWhole = false;
    /** The response bears the identity of the request, and of no other. */
    bool isIdentified = false;
    /** The response states that the request was not executed. */
    bool statesNotExecuted = false;
};

/**
    Returns the proof that an attempt did not run its request, if there is one. The only place that
    decides it; a response that merely stands where the attempt's own is expected proves nothing.
*/
NotRunProof notRunProof(const AttemptFacts &facts);
/** The same for a request that another instance was to carry. */
NotRunProof notRunProof(CarriedResult result);

/**
    Whether any attempt may have run a request. An attempt counts from the moment it is started
    until there is proof that it did not run; so no way out of an attempt can forget it.
*/
class RunEvidence
{
public:
    void attemptStarted() { isOpen_ = true; }
    /** Ends the attempt in progress, if there is one. */
    void attemptEnded(NotRunProof proof)
    {
        mayHaveRun_ = mayHaveRun_ || (isOpen_ && proof == NotRunProof::None);
        isOpen_ = false;
    }
    bool mayHaveRun() const { return mayHaveRun_ || isOpen_; }

private:
    bool isOpen_ = false;
    bool mayHaveRun_ = false;
};

} // namespace cuminrail

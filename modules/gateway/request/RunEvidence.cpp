#include "gateway/request/RunEvidence.h"

namespace cuminrail {

NotRunProof notRunProof(const AttemptFacts &facts)
{
    if (facts.isPrefill)
        return NotRunProof::PrefillOnly;
    if (facts.connection == Verdict::NotRun)
        return NotRunProof::NothingWritten;
    if (facts.isWhole && facts.isIdentified && facts.statesNotExecuted)
        return NotRunProof::UpstreamStatement;
    return NotRunProof::None;
}

NotRunProof notRunProof(CarriedResult result)
{
    switch (result) {
    case CarriedResult::Declined:
    case CarriedResult::NotRun:
        return NotRunProof::CarrierStatement;
    default:
        return NotRunProof::None;
    }
}

} // namespace cuminrail

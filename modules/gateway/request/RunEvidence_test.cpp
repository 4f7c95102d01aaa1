#include "gateway/request/RunEvidence.h"

#include <doctest/doctest.h>

using namespace cuminrail;

// Guards against "not run" from less than a whole statement with the request's identity.
TEST_CASE("only a complete statement, or nothing written, proves that a request did not run")
{
    struct Row
    {
        AttemptFacts facts;
        NotRunProof proof;
    };
    const Verdict sent = Verdict::MayHaveRun;
    const Row rows[] = {
        {{Verdict::NotRun, false, false, false, false}, NotRunProof::NothingWritten},
        {{sent, false, false, false, false}, NotRunProof::None},
        {{sent, false, true, true, false}, NotRunProof::None},
        {{sent, false, true, false, true}, NotRunProof::None},
        {{sent, false, false, true, true}, NotRunProof::None},
        {{sent, false, true, true, true}, NotRunProof::UpstreamStatement},
        {{Verdict::Ran, false, true, true, true}, NotRunProof::UpstreamStatement},
        {{sent, true, false, false, false}, NotRunProof::PrefillOnly},
    };
    for (const Row &row : rows) {
        CAPTURE(notRunProofNames.name(row.proof));
        CHECK(notRunProof(row.facts) == row.proof);
    }
}

// Guards against "not run" from a carrier that lost the request or may have sent it.
TEST_CASE("of a carrier's ends only two prove that a request did not run")
{
    for (const auto &entry : carriedResultNames.entries) {
        const CarriedResult result = entry.first;
        CAPTURE(entry.second);
        const bool isProof = result == CarriedResult::Declined || result == CarriedResult::NotRun;
        CHECK((notRunProof(result) == NotRunProof::CarrierStatement) == isProof);
    }
}

// Guards against an attempt that is forgotten on some way out of it.
TEST_CASE("an attempt may have run from its start until there is proof that it did not")
{
    RunEvidence evidence;
    CHECK_FALSE(evidence.mayHaveRun());
    evidence.attemptStarted();
    CHECK(evidence.mayHaveRun());
    evidence.attemptEnded(NotRunProof::UpstreamStatement);
    CHECK_FALSE(evidence.mayHaveRun());
    evidence.attemptStarted();
    evidence.attemptEnded(NotRunProof::None);
    CHECK(evidence.mayHaveRun());
    evidence.attemptStarted();
    evidence.attemptEnded(NotRunProof::NothingWritten);
    CHECK(evidence.mayHaveRun());
}

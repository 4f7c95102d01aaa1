#include "core/core.h"

#include <doctest/doctest.h>

using namespace cuminrail;

TEST_CASE("verdict names go both ways")
{
    for (const auto &entry : verdictNames.entries)
        CHECK(verdictNames.value(entry.second) == entry.first);
    CHECK_FALSE(verdictNames.value("perhaps").has_value());
}

TEST_CASE("only a request that provably did not run is safe to repeat")
{
    CHECK(AttemptOutcome{Verdict::NotRun, {}}.isSafeToRepeat());
    CHECK_FALSE(AttemptOutcome{Verdict::MayHaveRun, {}}.isSafeToRepeat());
    CHECK_FALSE(AttemptOutcome{Verdict::Ran, {}}.isSafeToRepeat());
}

TEST_CASE("never is later than any instant and leaves room for sums")
{
    CHECK(Millis::never() > Millis::minutes(60 * 24 * 365 * 1000));
    CHECK(Millis::never() + Millis::never() > Millis::never());
}

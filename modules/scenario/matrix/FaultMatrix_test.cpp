#include "scenario/matrix/FaultMatrix.h"

#include <doctest/doctest.h>

using namespace cuminrail;

TEST_CASE("every operation succeeds undisturbed")
{
    for (const ScenarioScript &operation : FaultMatrix::operations()) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            ScenarioOptions options;
            options.seed = seed;
            const ScenarioResult result = runScenario(operation, options);
            INFO(operation.name << " seed " << seed);
            for (const std::string &unmet : result.unmet)
                INFO(unmet);
            CHECK(result.isGood());
            CHECK(!result.messages.empty());
        }
    }
}

// Any process may be killed, paused or cut off, any message lost or late, the store down or slow,
// an engine crash, at any point. Whatever strikes, the promises hold and the work is done in the
// end.
TEST_CASE("every fault at every step leaves every promise kept")
{
    const std::vector<MatrixRow> rows = FaultMatrix::singles(1);
    CHECK(rows.size() > 500);
    for (const MatrixRow &row : rows) {
        const ScenarioResult result = FaultMatrix::run(row, 1);
        if (result.isGood())
            continue;
        std::string text = row.name() + " at " + row.step.toString();
        for (const Breach &breach : result.breaches)
            text += "\n  " + breach.promise + ": " + breach.evidence;
        for (const std::string &unmet : result.unmet)
            text += "\n  " + unmet;
        FAIL_CHECK(text);
    }
}

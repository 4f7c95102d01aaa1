#include "scenario/matrix/FaultMatrix.h"

#include <doctest/doctest.h>

using namespace cuminrail;

// An operation fails without any fault, which would make its rows of the matrix meaningless.
TEST_CASE("every operation succeeds without faults")
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

// At any step a process may be killed, paused or cut off, a message lost or late, the store down or
// slow, or an engine crash. Under each of these faults all guarantees must hold and the operation
// must complete in the end.
TEST_CASE("all guarantees hold under every fault at every step")
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

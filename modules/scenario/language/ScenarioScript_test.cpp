#include "scenario/language/ScenarioScript.h"

#include <doctest/doctest.h>

using namespace cuminrail;

// A scenario with a mistyped line must not run; the error names file, line and reason.
TEST_CASE("errors in a scenario are reported with file, line and reason")
{
    struct Row
    {
        const char *line;
        const char *reason;
    };
    const std::vector<Row> rows = {
        {"fly a", "unknown statement 'fly'"},
        {"instance x", "expected 'domain', found the end of the line"},
        {"instance a domain kgl-b", "instance 'a' is there already"},
        {"engine e1 domain kgl-a checks-fence maybe",
         "'maybe' for checks-fence is neither yes nor no"},
        {"at 3 kill a", "'3' is no span for the instant; write 300ms, 20s or 5m"},
        {"at 3s kill z", "unknown instance 'z'"},
        {"at 3s order e9 change-role decode", "unknown engine 'e9'"},
        {"at 3s order e0 change-role sing", "unknown role 'sing'"},
        {"at 3s order e0 dance decode", "unknown kind of order 'dance'"},
        {"at 3s kill a b", "'b' is one word too many"},
        {"at 3s pause a", "expected 'for', found the end of the line"},
        {"at 3s explode a", "unknown action 'explode'"},
        {"at 3s", "an action is missing"},
        {"expect peace", "unknown expectation 'peace'"},
        {"at 3s crash e0 softly", "'softly' is not old, new or none"},
        {"at 3s count a south x prompt 1 output 1", "unknown team 'south'"},
        {"at 3s count a north x prompt many output 1", "'many' is no number for prompt tokens"},
    };
    for (const Row &row : rows) {
        INFO(row.line);
        Reason lastReason;
        const std::string text = "instance a domain kgl-a\nteam north\nengine e0 domain kgl-a\n";
        CHECK(!readScenario("f", text + row.line + "\n", &lastReason));
        CHECK(lastReason.toString() == std::string("f:4: ") + row.reason);
    }
}

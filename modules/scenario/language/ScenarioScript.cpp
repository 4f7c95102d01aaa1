#include "scenario/language/ScenarioScript.h"

#include "scenario/language/ScenarioParser.h"

#include <sstream>

namespace cuminrail {

std::optional<ScenarioScript> readScenario(const std::string &name, const std::string &text,
                                           Reason *lastReason)
{
    detail::ScenarioParser parser(name);
    std::istringstream lines(text);
    int lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        try {
            parser.readLine(line, lineNumber);
        } catch (const detail::StatementError &error) {
            fail(lastReason, name + ":" + std::to_string(lineNumber), error.what());
            return std::nullopt;
        }
    }
    return parser.finish();
}

} // namespace cuminrail

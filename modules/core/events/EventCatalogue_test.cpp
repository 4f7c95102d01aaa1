#include "core/events/EventCatalogue.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

using namespace cuminrail;

namespace {

std::string catalogueLine(const EventKind &kind)
{
    std::ostringstream line;
    line << "| " << kind.number << " | " << eventLevelNames.name(kind.level) << " | `" << kind.name
         << "` | " << kind.meaning << " |";
    return line.str();
}

} // namespace

TEST_CASE("numbers and names of events are unique and rise")
{
    std::map<std::string, int> names;
    int previous = 0;
    for (const EventKind *kind : eventCatalogue()) {
        INFO(kind->name);
        CHECK(kind->number > previous);
        CHECK(names.emplace(std::string(kind->name), kind->number).second);
        previous = kind->number;
    }
}

// An operator meets a number in the log and finds nothing about it in the catalogue, because the
// page was not changed with the code. This compares them line by line.
TEST_CASE("docs/EVENTS.md lists exactly the events of the code")
{
    std::ifstream page("docs/EVENTS.md");
    REQUIRE(page.good());
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line[0] == '|' && std::isdigit(static_cast<unsigned char>(line[2])))
            rows.push_back(line);
    }
    std::vector<std::string> expected;
    for (const EventKind *kind : eventCatalogue())
        expected.push_back(catalogueLine(*kind));
    CHECK(rows == expected);
}

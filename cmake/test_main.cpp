#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "core/guards/Guards.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace {

/** Returns the guard that CUMINRAIL_DISABLED_GUARD names, for extras/mutants.sh. */
std::optional<cuminrail::Guard> guardFromEnvironment()
{
    const char *name = std::getenv("CUMINRAIL_DISABLED_GUARD");
    if (name == nullptr)
        return std::nullopt;
    return cuminrail::guardNames.value(name);
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(' ');
    return first == std::string::npos ? ""
                                      : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

/** Leaves out the test cases that the file named by CUMINRAIL_KNOWN_RED lists for a program. */
void leaveOutKnownRed(doctest::Context &context, const std::string &program)
{
    const char *file = std::getenv("CUMINRAIL_KNOWN_RED");
    std::ifstream lines(file == nullptr ? "" : file);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        std::string owner;
        std::string name;
        std::getline(fields, owner, '|');
        std::getline(fields, name, '|');
        if (trimmed(owner) != program)
            continue;
        std::string pattern;
        for (const char each : trimmed(name))
            pattern += each == ',' ? std::string("\\,") : std::string(1, each);
        context.addFilter("test-case-exclude", pattern.c_str());
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::optional<cuminrail::DisabledGuard> off;
    if (const auto guard = guardFromEnvironment())
        off.emplace(*guard);
    doctest::Context context(argc, argv);
    const std::string path = argv[0];
    leaveOutKnownRed(context, path.substr(path.rfind('/') + 1));
    return context.run();
}

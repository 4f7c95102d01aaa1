#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "core/guards/Guards.h"

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

/** Returns the guard that CUMINRAIL_DISABLED_GUARD names, for extras/mutants.sh. */
std::optional<cuminrail::Guard> guardFromEnvironment()
{
    const char *name = std::getenv("CUMINRAIL_DISABLED_GUARD");
    if (name == nullptr)
        return std::nullopt;
    return cuminrail::guardNames.value(name);
}

} // namespace

int main(int argc, char **argv)
{
    std::optional<cuminrail::DisabledGuard> off;
    if (const auto guard = guardFromEnvironment())
        off.emplace(*guard);
    doctest::Context context(argc, argv);
    return context.run();
}

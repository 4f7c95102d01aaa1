#pragma once

#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "ctl/commands/CommandLine.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <istream>
#include <string>

namespace cuminrail {

/** What a command found: for a script as JSON, for people as text. */
struct CtlReport
{
    CtlExit exit = CtlExit::Ok;
    nlohmann::json json = nlohmann::json::object();
    std::string text;
};

/** What commands need of their surroundings. */
struct CtlSurroundings
{
    std::istream &input;
    RandomHook random;
    std::function<void(Millis)> wait;
};

/** Carries out a checked command line. */
CtlReport runCtlCommand(const CtlArguments &arguments, const CtlSurroundings &surroundings);

} // namespace cuminrail

#pragma once

#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "ctl/commands/CommandLine.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <istream>
#include <string>

namespace cuminrail {

/** Result of a command, as JSON for scripts and as text for operators. */
struct CtlReport
{
    CtlExit exit = CtlExit::Ok;
    nlohmann::json json = nlohmann::json::object();
    std::string text;
};

/** External dependencies of commands. */
struct CtlSurroundings
{
    std::istream &input;
    RandomHook random;
    std::function<void(Millis)> wait;
};

/** Executes a validated command line. */
CtlReport runCtlCommand(const CtlArguments &arguments, const CtlSurroundings &surroundings);

} // namespace cuminrail

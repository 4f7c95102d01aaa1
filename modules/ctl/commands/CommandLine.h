#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Exit codes of the tool. */
enum class CtlExit : int {
    Ok = 0,
    /** There are differences, or the settings were refused. */
    Differences = 1,
    Usage = 2,
    /** Another writer changed the settings concurrently. */
    Conflict = 3,
    /** The platform or an instance did not respond, or a response was lost. */
    Unavailable = 4,
};

inline constexpr NameTable<CtlExit, 5> ctlExitNames{{{
    {CtlExit::Ok, "ok"},
    {CtlExit::Differences, "differences"},
    {CtlExit::Usage, "usage"},
    {CtlExit::Conflict, "conflict"},
    {CtlExit::Unavailable, "unavailable"},
}}};

/** A validated command line. */
struct CtlArguments
{
    /** Name of the command, for example "apply" or "keys add". */
    std::string command;
    std::vector<std::string> operands;
    std::string platform;
    /** Addresses of the instances' operator interfaces. */
    std::vector<std::string> admins;
    bool isJson = false;
    bool isDryRun = false;
    bool isWhole = false;
    /** The generation that must be in force for apply to proceed. */
    std::optional<std::uint64_t> base;
    std::string team;
    std::string customer;
    std::string label;
    std::string hash;
    bool readsKey = false;
    bool wantsHelp = false;
};

/** Returns the value of an environment variable, or nullopt if it is not set. */
using CtlEnvironment = std::function<std::optional<std::string>(const std::string &)>;

/** Parses a command line; nullopt with a reason if it is invalid. */
std::optional<CtlArguments> readCtlArguments(int argc, const char *const *argv,
                                             const CtlEnvironment &environment, Reason *lastReason);

/** Returns the help text. */
std::string ctlHelp();

} // namespace cuminrail

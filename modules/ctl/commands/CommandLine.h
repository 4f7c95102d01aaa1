#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** What a script learns from the exit code. */
enum class CtlExit : int {
    Ok = 0,
    /** There are differences, or the settings were refused. */
    Differences = 1,
    Usage = 2,
    /** Someone else changed the settings meanwhile. */
    Conflict = 3,
    /** The platform or an instance does not answer, or an answer was lost. */
    Unavailable = 4,
};

inline constexpr NameTable<CtlExit, 5> ctlExitNames{{{
    {CtlExit::Ok, "ok"},
    {CtlExit::Differences, "differences"},
    {CtlExit::Usage, "usage"},
    {CtlExit::Conflict, "conflict"},
    {CtlExit::Unavailable, "unavailable"},
}}};

/** A checked command line. */
struct CtlArguments
{
    /** "apply", "keys add" and so on. */
    std::string command;
    std::vector<std::string> operands;
    std::string platform;
    /** Operators' addresses of instances. */
    std::vector<std::string> admins;
    bool isJson = false;
    bool isDryRun = false;
    bool isWhole = false;
    /** The generation that the operator looked at. */
    std::optional<std::uint64_t> base;
    std::string team;
    std::string customer;
    std::string label;
    std::string hash;
    bool readsKey = false;
    bool wantsHelp = false;
};

/** Gives an environment variable, or nothing. */
using CtlEnvironment = std::function<std::optional<std::string>(const std::string &)>;

/** Reads a command line; nothing, with a reason, for one that makes no sense. */
std::optional<CtlArguments> readCtlArguments(int argc, const char *const *argv,
                                             const CtlEnvironment &environment, Reason *lastReason);

/** Returns the help page. */
std::string ctlHelp();

} // namespace cuminrail

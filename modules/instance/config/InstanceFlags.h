#pragma once

#include "core/errors/Reason.h"
#include "instance/config/InstanceConfig.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One flag of cuminraild. Each flag can also be set by an environment variable. */
struct InstanceFlag
{
    /** For example "drain-lag-ms"; its variable is CUMINRAIL_DRAIN_LAG_MS. */
    std::string name;
    /** The type or unit shown in the help, such as "IP:PORT" or "milliseconds". */
    std::string type;
    /** The default as it is written on the command line; empty if there is none. */
    std::string defaultText;
    std::string meaning;
    /** Parses a value into the configuration. Returns false with a reason if it is invalid. */
    std::function<bool(const std::string &text, InstanceConfig &config, Reason *lastReason)> set;

    std::string environmentName() const;
    /** Returns the flag's row of the table in docs/SETTINGS.md. */
    std::string toMarkdown() const;
};

/** Returns all flags in the order of the help and of docs/SETTINGS.md. */
const std::vector<InstanceFlag> &instanceFlags();

/** Looks up an environment variable; tests use a map instead. */
using EnvironmentHook = std::function<std::optional<std::string>(const std::string &name)>;

/** The result of parsing the command line and the environment. */
struct FlagsResult
{
    InstanceConfig config;
    /** All errors, each with its flag or variable. The configuration is valid only if empty. */
    std::vector<Reason> mistakes;
    bool wantsHelp = false;
};

/** Parses the command line, and the environment for flags that are not on it. */
FlagsResult readInstanceFlags(int argc, const char *const *argv,
                              const EnvironmentHook &environment);

/** Returns the text that --help prints. */
std::string instanceHelp();

} // namespace cuminrail

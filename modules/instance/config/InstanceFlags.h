#pragma once

#include "core/errors/Reason.h"
#include "instance/config/InstanceConfig.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One flag of cuminraild, which is also an environment variable. */
struct InstanceFlag
{
    /** "drain-lag-ms"; the variable is CUMINRAIL_DRAIN_LAG_MS. */
    std::string name;
    /** What the value is, for people: "IP:PORT", "milliseconds". */
    std::string type;
    /** As it would be typed; empty for none. */
    std::string defaultText;
    std::string meaning;
    /** Takes a value over into the configuration. Returns false with a reason. */
    std::function<bool(const std::string &text, InstanceConfig &config, Reason *lastReason)> set;

    std::string environmentName() const;
    /** Returns the flag's row as it stands in docs/SETTINGS.md. */
    std::string toMarkdown() const;
};

/** Returns all flags, in the order of the help page and of docs/SETTINGS.md. */
const std::vector<InstanceFlag> &instanceFlags();

/** Where environment variables come from; tests give a map. */
using EnvironmentHook = std::function<std::optional<std::string>(const std::string &name)>;

/** What the command line and environment come to. */
struct FlagsResult
{
    InstanceConfig config;
    /** Every mistake, each with its flag or variable; the configuration counts only without. */
    std::vector<Reason> mistakes;
    bool wantsHelp = false;
};

/** Reads the command line, then the environment for flags that are not on it. */
FlagsResult readInstanceFlags(int argc, const char *const *argv,
                              const EnvironmentHook &environment);

/** Returns the help page. */
std::string instanceHelp();

} // namespace cuminrail

#pragma once

#include "ctl/commands/Commands.h"
#include "ctl/settings/SettingsRepository.h"
#include "settings/diff/SettingsDiff.h"

#include <vector>

namespace cuminrail::detail {

/** Returns a report of a failed command. */
CtlReport failure(CtlExit exit, const Reason &reason);

/** Returns a report of refused settings that lists every mistake. */
CtlReport refusal(const std::vector<Reason> &mistakes);

/** Returns a report of a commit's outcome. */
CtlReport commitReport(const CommitResult &result);

/** Adds changes to a report, as JSON and as diff lines. */
void addChanges(CtlReport &report, const std::vector<SettingsChange> &changes);

/** Commands that read or change settings: apply, diff, get, keys, prune. */
class SettingsCommands
{
public:
    SettingsCommands(const CtlArguments &arguments, const CtlSurroundings &surroundings,
                     SettingsRepository &repository)
        : arguments_(arguments), surroundings_(surroundings), repository_(repository)
    { }

    CtlReport apply();
    CtlReport get();
    CtlReport addKey();
    CtlReport withdrawKey();
    CtlReport prune();

private:
    using Edit = std::function<bool(SettingsSubtrees &, Reason *)>;

    /** Loads, edits, validates and commits the settings; retries on a conflict. */
    CtlReport edit(const Edit &change);
    std::optional<std::string> readKey(Reason *lastReason);

    const CtlArguments &arguments_;
    const CtlSurroundings &surroundings_;
    SettingsRepository &repository_;
};

/** Commands that send requests to instances. */
class InstanceCommands
{
public:
    InstanceCommands(const CtlArguments &arguments, ControlLoop &loop)
        : arguments_(arguments), loop_(loop)
    { }

    CtlReport drain();
    CtlReport state();
    CtlReport listQuarantines();
    CtlReport liftQuarantine();
    CtlReport status(SettingsRepository &repository);

private:
    /** Shows a page of an instance. */
    CtlReport show(const std::string &target);
    PlatformAnswer callInstance(const std::string &address, const std::string &method,
                                const std::string &target);

    const CtlArguments &arguments_;
    ControlLoop &loop_;
};

} // namespace cuminrail::detail

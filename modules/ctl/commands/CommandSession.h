#pragma once

#include "ctl/commands/Commands.h"
#include "ctl/settings/SettingsRepository.h"
#include "settings/diff/SettingsDiff.h"

#include <vector>

namespace cuminrail::detail {

/** Returns a report that a command could not do its work. */
CtlReport failure(CtlExit exit, const Reason &reason);

/** Returns a report that settings were refused, with every mistake. */
CtlReport refusal(const std::vector<Reason> &mistakes);

/** Returns what a commit's outcome means to the operator. */
CtlReport commitReport(const CommitResult &result);

/** Adds changes to a report, as JSON and as lines of a diff. */
void addChanges(CtlReport &report, const std::vector<SettingsChange> &changes);

/** Commands about settings: apply, diff, get, keys, prune. */
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

    /** Reads, edits, checks and commits; again when someone else was faster. */
    CtlReport edit(const Edit &change);
    std::optional<std::string> readKey(Reason *lastReason);

    const CtlArguments &arguments_;
    const CtlSurroundings &surroundings_;
    SettingsRepository &repository_;
};

/** Commands that ask instances: drain, state, status. */
class InstanceCommands
{
public:
    InstanceCommands(const CtlArguments &arguments, ControlLoop &loop)
        : arguments_(arguments), loop_(loop)
    { }

    CtlReport drain();
    CtlReport state();
    CtlReport status(SettingsRepository &repository);

private:
    PlatformAnswer ask(const std::string &address, const std::string &method,
                       const std::string &target);

    const CtlArguments &arguments_;
    ControlLoop &loop_;
};

} // namespace cuminrail::detail

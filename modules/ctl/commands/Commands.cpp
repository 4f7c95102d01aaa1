#include "ctl/commands/Commands.h"

#include "ctl/commands/CommandSession.h"
#include "platform/adapters/HttpObjectStore.h"

namespace cuminrail {

CtlReport runCtlCommand(const CtlArguments &arguments, const CtlSurroundings &surroundings)
{
    ControlLoop loop("cuminrailctl", Millis::seconds(3));
    SettingsRepository repository(loop, makeHttpObjectStore(loop.client(), arguments.platform),
                                  surroundings.random);
    detail::SettingsCommands settings(arguments, surroundings, repository);
    detail::InstanceCommands instances(arguments, loop);
    if (arguments.command == "apply" || arguments.command == "diff")
        return settings.apply();
    if (arguments.command == "get")
        return settings.get();
    if (arguments.command == "keys add")
        return settings.addKey();
    if (arguments.command == "keys withdraw")
        return settings.withdrawKey();
    if (arguments.command == "prune")
        return settings.prune();
    if (arguments.command == "drain")
        return instances.drain();
    if (arguments.command == "state")
        return instances.state();
    return instances.status(repository);
}

} // namespace cuminrail

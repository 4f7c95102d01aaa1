#include "BenchCommand.h"

#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using cuminrail::BenchCommand;

const std::vector<BenchCommand> &commands()
{
    static const std::vector<BenchCommand> all = {
        {"policy", "goodput of admission and routing against baselines, in virtual time",
         cuminrail::runPolicyCommand},
        {"load",
         "a day of load from a file against emulated engines, several placements in one run",
         cuminrail::runLoadCommand},
        {"decide", "time and memory of one decision, and their slopes",
         cuminrail::runDecideCommand},
        {"control", "what membership, configuration and the view of engines cost each instance",
         cuminrail::runControlCommand},
        {"path", "what an instance adds to a request, in time and processor work",
         cuminrail::runPathCommand},
        {"at-most-once", "calls that may not be repeated, while connections break everywhere",
         cuminrail::runAtMostOnceCommand},
        {"carriage", "requests of instances that reach no upstream: both ways, and the delay",
         cuminrail::runCarriageCommand},
        {"streams", "streams taken up elsewhere while versions change: shares, sizes, look-ups",
         cuminrail::runStreamsCommand},
        {"parts", "parts of prompts that end engines: ways to find them, sizes, cost of the check",
         cuminrail::runPartsCommand},
        {"authority-holder", "a process that holds duties, for extras/authority-runs.sh",
         cuminrail::runAuthorityHolderCommand},
        {"authority-judge", "judges a trial of holders by the stand-ins' records",
         cuminrail::runAuthorityJudgeCommand},
    };
    return all;
}

int usage(std::ostream &out, int code)
{
    out << "cuminrail-bench COMMAND [--help] [options]\n\n";
    for (const BenchCommand &command : commands())
        out << "  " << command.name << "\t" << command.help << "\n";
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h")
        return usage(std::cout, 0);
    for (const BenchCommand &command : commands()) {
        if (command.name != name)
            continue;
        try {
            return command.run(argc - 1, argv + 1);
        } catch (const std::exception &error) {
            std::cerr << "cuminrail-bench " << name << ": " << error.what() << "\n";
            return cuminrail::usageError;
        }
    }
    if (!name.empty())
        std::cerr << "cuminrail-bench: no command '" << name << "'\n";
    return usage(std::cerr, cuminrail::usageError);
}

#pragma once

#include <functional>
#include <string>
#include <vector>

namespace cuminrail {

/** One measurement of cuminrail-bench. Each prints a table, or JSON with --format json. */
struct BenchCommand
{
    std::string name;
    std::string help;
    /** Runs with the arguments after the command's name. Returns the exit code. */
    std::function<int(int argc, char **argv)> run;
};

/** Exit code for wrong arguments. */
inline constexpr int usageError = 2;

int runPolicyCommand(int argc, char **argv);
int runLoadCommand(int argc, char **argv);
int runDecideCommand(int argc, char **argv);
int runControlCommand(int argc, char **argv);
int runPathCommand(int argc, char **argv);
int runCarriageCommand(int argc, char **argv);
int runStreamsCommand(int argc, char **argv);
int runPartsCommand(int argc, char **argv);
int runAtMostOnceCommand(int argc, char **argv);
int runAuthorityHolderCommand(int argc, char **argv);
int runAuthorityJudgeCommand(int argc, char **argv);

} // namespace cuminrail

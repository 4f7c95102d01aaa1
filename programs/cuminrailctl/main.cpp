#include "ctl/ctl.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

using namespace cuminrail;

namespace {

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

/** Keys are made of this, so it must not be guessable: the system's own source each time. */
std::uint64_t systemRandom()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

int print(const CtlArguments &arguments, const CtlReport &report)
{
    if (arguments.isJson) {
        nlohmann::json json = report.json;
        json["result"] = ctlExitNames.name(report.exit);
        std::cout << json.dump() << "\n";
    } else {
        (report.exit <= CtlExit::Differences ? std::cout : std::cerr) << report.text;
    }
    return static_cast<int>(report.exit);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Reason reason;
    const auto arguments = readCtlArguments(argc, argv, environmentVariable, &reason);
    if (!arguments) {
        std::cerr << "cuminrailctl: " << reason.toString() << "\n";
        return static_cast<int>(CtlExit::Usage);
    }
    if (arguments->wantsHelp) {
        std::cout << ctlHelp();
        return 0;
    }
    const auto wait = [](Millis span) {
        std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
    };
    return print(*arguments, runCtlCommand(*arguments, {std::cin, systemRandom, wait}));
}

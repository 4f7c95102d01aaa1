#include "instance/config/SettingsFiles.h"
#include "instance/instance.h"
#include "instance/services/ControlServices.h"
#include "runtime/log/EventLog.h"
#include "runtime/memory/Allocator.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

using namespace cuminrail;

namespace {

constexpr int exitMistake = 2;
constexpr int exitFailure = 1;

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

int reportMistakes(const std::vector<Reason> &mistakes)
{
    for (const Reason &mistake : mistakes)
        std::cerr << "cuminraild: " << mistake.toString() << "\n";
    return exitMistake;
}

int serve(const InstanceConfig &config, const std::optional<Settings> &settings)
{
    const EventLog log(config.logLevel, config.instanceId.text());
    Instance instance(config, log.sink());
    boost::asio::signal_set signals(instance.control().thread().io(), SIGTERM, SIGINT);
    signals.async_wait([&instance](const boost::system::error_code &error, int) {
        if (!error)
            instance.drain();
    });
    Reason reason;
    PeerService peers(instance.control());
    std::unique_ptr<ControlServices> services;
    const bool hasPeers = config.platform.empty() || peers.start(&reason);
    if (hasPeers && !config.platform.empty())
        services = std::make_unique<ControlServices>(instance, peers, ControlTiming());
    if (!hasPeers || !instance.start(&reason)) {
        std::cerr << "cuminraild: " << reason.toString() << "\n";
        return exitFailure;
    }
    if (settings)
        instance.publish(*settings);
    std::cout << "listening " << config.listen.address << ":" << instance.port() << " admin "
              << config.adminListen.address << ":" << instance.adminPort() << std::endl;
    instance.wait();
    instance.shutDown();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // A peer that closes while something is written to it must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    returnLongBuffers();
    const FlagsResult flags = readInstanceFlags(argc, argv, environmentVariable);
    if (flags.wantsHelp) {
        std::cout << instanceHelp();
        return 0;
    }
    if (!flags.mistakes.empty())
        return reportMistakes(flags.mistakes);
    std::optional<Settings> settings;
    if (!flags.config.settingsDir.empty()) {
        std::vector<Reason> mistakes;
        settings = readSettingsFiles(flags.config.settingsDir, &mistakes);
        if (!settings)
            return reportMistakes(mistakes);
    }
    return serve(flags.config, settings);
}

#include "core/events/EventCatalogue.h"
#include "gateway/gateway.h"
#include "platform/DeclarationCodec.h"
#include "platform/GatewayBinding.h"
#include "platform/ObjectApi.h"
#include "platform/ProcessSettings.h"
#include "runtime/files/Files.h"
#include "runtime/log/EventLog.h"
#include "runtime/time/BootClock.h"

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>

using namespace cuminrail;

namespace {

constexpr int exitMistake = 2;
constexpr int exitFailure = 1;
/** Requests wait for nothing that is noticed by a deadline closer than this. */
constexpr Millis deadlineTick = Millis(20);

std::int64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int complain(const Reason &reason, int code)
{
    std::cerr << "cuminrail-gateway: " << reason.toString() << "\n";
    return code;
}

int serve(const InstanceSettings &settings)
{
    const EventLog log(EventLevel::Info, settings.name);
    boost::asio::io_context io(1);
    DeadlineList deadlines(io, bootClock(), deadlineTick);
    PlatformClient client(io, deadlines, platform::clientOptions(settings));
    const Gateway::Environment environment{
        io,
        deadlines,
        bootClock(),
        wallMillis,
        seededRandom(std::random_device()()),
        log.sink(),
        platform::makeObjectStore(client, [&settings] { return settings.store; })};
    Gateway gateway(settings, platform::makeWire(client, settings), environment);
    boost::asio::signal_set stops(io, SIGTERM, SIGINT);
    stops.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            gateway.drain([&io] { io.stop(); });
    });
    deadlines.start();
    Reason reason;
    if (!gateway.start(&reason))
        return complain(reason, exitFailure);
    log.write(Event{&events::processStarted, {{"callers", settings.callers.toString()}}});
    io.run();
    return 0;
}

} // namespace

int main()
{
    // A peer that closes while something is written to it must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    const std::string path = platform::settingsPath();
    Reason reason;
    if (path.empty())
        return complain({"settings", "the environment names no file"}, exitMistake);
    const auto text = contentOf(path);
    if (!text)
        return complain({path, "cannot be read"}, exitMistake);
    const auto settings = platform::parseSettings(*text, &reason);
    if (!settings)
        return complain(Reason{path, reason.toString()}, exitMistake);
    return serve(*settings);
}

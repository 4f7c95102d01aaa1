#include "core/events/EventCatalogue.h"
#include "gateway/gateway.h"
#include "platform/GatewayBinding.h"
#include "platform/ObjectApi.h"
#include "platform/ProcessSettings.h"
#include "runtime/files/Files.h"
#include "runtime/log/BoundedLog.h"
#include "runtime/memory/Allocator.h"
#include "runtime/time/BootClock.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <unistd.h>

using namespace cuminrail;

namespace {

constexpr int exitMistake = 2;
constexpr int exitFailure = 1;
/** How late a deadline may be noticed; a wake-up each time is what it costs. */
constexpr Millis deadlineTick = Millis(20);
/** Log lines are handed out in batches this often. */
constexpr Millis logEvery = Millis(250);
/** The settings file may change without a signal; looked at this often. */
constexpr Millis settingsEvery = Millis::seconds(2);

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

std::optional<InstanceSettings> readSettings(const std::string &path, Reason *lastReason)
{
    const auto text = contentOf(path);
    if (!text) {
        fail(lastReason, path, "cannot be read");
        return std::nullopt;
    }
    Reason reason;
    auto settings = platform::parseSettings(*text, &reason);
    if (!settings)
        fail(lastReason, path, reason.toString());
    return settings;
}

/** Calls a function again and again; ends with the event loop. */
class Repeat
{
public:
    Repeat(boost::asio::io_context &io, Millis every, std::function<void()> function)
        : timer_(io), every_(every), function_(std::move(function))
    {
        arm();
    }

private:
    void arm()
    {
        timer_.expires_after(std::chrono::milliseconds(every_.count()));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            function_();
            arm();
        });
    }

    boost::asio::steady_timer timer_;
    Millis every_;
    std::function<void()> function_;
};

/** Reads the settings file again and takes over what may change in a running process. */
class SettingsFollower
{
public:
    SettingsFollower(std::string path, InstanceSettings &settings, EventSink events)
        : path_(std::move(path)), settings_(settings), events_(std::move(events)),
          text_(contentOf(path_))
    { }

    void look()
    {
        auto text = contentOf(path_);
        if (text == text_)
            return;
        text_ = std::move(text);
        Reason reason;
        const auto fresh = readSettings(path_, &reason);
        if (!fresh) {
            events_(Event{&events::settingsNotReread, {{"reason", reason.toString()}}});
            return;
        }
        // Addresses that this process listens on stay as they are until it starts again.
        settings_.store = fresh->store;
        settings_.duties = fresh->duties;
        events_(Event{&events::settingsReread, {{"store", settings_.store}}});
    }

private:
    std::string path_;
    InstanceSettings &settings_;
    EventSink events_;
    std::optional<std::string> text_;
};

/**
    From here on the process ends anyway. Without a handler, being asked to stop once more would end
    it by the signal, in the middle of its last steps. Blocked meanwhile, as the set's own end
   brings the default back.
*/
void ignoreFurtherStops(boost::asio::signal_set &stops)
{
    sigset_t asked;
    sigemptyset(&asked);
    sigaddset(&asked, SIGTERM);
    sigaddset(&asked, SIGINT);
    pthread_sigmask(SIG_BLOCK, &asked, nullptr);
    boost::system::error_code ignored;
    stops.clear(ignored);
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
    pthread_sigmask(SIG_UNBLOCK, &asked, nullptr);
}

int serve(const std::string &path, InstanceSettings settings)
{
    boost::asio::io_context io(1);
    DeadlineList deadlines(io, bootClock(), deadlineTick);
    BoundedLog log(settings.name, bootClock(), wallMillis, descriptorOutput(STDOUT_FILENO));
    auto client =
        std::make_unique<PlatformClient>(io, deadlines, platform::clientOptions(settings));
    const Gateway::Environment environment{
        io,
        deadlines,
        bootClock(),
        wallMillis,
        seededRandom(std::random_device()()),
        log.sink(),
        platform::makeObjectStore(*client, [&settings] { return settings.store; }),
        [&log] { return log.dropped(); }};
    auto gateway = std::make_unique<Gateway>(
        settings, platform::makeGatewayProtocol(*client, settings), environment);
    client->setObserver([&gateway](PlatformCallKind kind, bool wasAnswered, Millis took) {
        const std::string name(platformCallKindNames.name(kind));
        if (gateway)
            gateway->platformCallEnded(name.c_str(), wasAnswered, took);
    });
    client->setStrayHandler([&gateway](const StrayResponse &stray) {
        if (gateway)
            gateway->noteStray(stray);
    });
    SettingsFollower follower(path, settings, log.sink());
    boost::asio::signal_set stops(io, SIGTERM, SIGINT);
    stops.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            gateway->drain([&io] { io.stop(); });
    });
    deadlines.start();
    Reason reason;
    if (!gateway->start(&reason))
        return complain(reason, exitFailure);
    log.write(Event{&events::processStarted,
                    {{"callers", settings.callers.toString()},
                     {"admin", settings.admin.toString()},
                     {"store", settings.store}}});
    const Repeat flushing(io, logEvery, [&log] { log.flush(); });
    const Repeat looking(io, settingsEvery, [&follower] { follower.look(); });
    io.run();
    ignoreFurtherStops(stops);
    log.flush();
    // Handlers that are left hold connections, which refer to the servers and deadlines here. They
    // must run before those go, or the process would end in a crash after a planned stop.
    gateway->shutDown();
    client->closeAll();
    deadlines.stop();
    io.restart();
    io.poll();
    gateway.reset();
    client.reset();
    io.restart();
    io.poll();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // A peer that closes while something is written to it must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    returnLongBuffers();
    // The settings file is looked at anyway; the signal's default would end the process.
    std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options("cuminrail-gateway", "One instance that serves declared routes.");
    options.add_options()("settings", "settings file; default: the one that the platform names",
                          cxxopts::value<std::string>())(
        "set", "NAME=VALUE,…: other figures for decisions, for an experiment",
        cxxopts::value<std::vector<std::string>>())("check", "check the settings and end")(
        "h,help", "this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << "\n";
            return 0;
        }
        if (!arguments.unmatched().empty())
            return complain({arguments.unmatched().front(), "is not an option"}, exitMistake);
        const std::string path = arguments.count("settings") > 0
            ? arguments["settings"].as<std::string>()
            : platform::settingsPath();
        if (path.empty())
            return complain({"settings", "no file is named, by flag or environment"}, exitMistake);
        Reason reason;
        auto settings = readSettings(path, &reason);
        if (!settings)
            return complain(reason, exitMistake);
        if (arguments.count("set") > 0) {
            for (const auto &text : arguments["set"].as<std::vector<std::string>>()) {
                if (!settings->decisions.set(text, &reason))
                    return complain({"--set " + reason.where, reason.what}, exitMistake);
            }
        }
        if (arguments.count("check") > 0) {
            std::cout << path << ": ok\n";
            return 0;
        }
        return serve(path, *settings);
    } catch (const cxxopts::exceptions::exception &error) {
        return complain({"command line", error.what()}, exitMistake);
    } catch (const std::exception &error) {
        return complain({"process", error.what()}, exitFailure);
    }
}

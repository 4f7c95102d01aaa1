#include "Fleet.h"

#include "net/testing/FreePorts.h"
#include "platform/testing/ProcessUsage.h"
#include "platform/testing/StandinDeclarations.h"
#include "runtime/time/BootClock.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace cuminrail::soak {

using testing::freePorts;

namespace {

/** Longer than the gateways' grace: whoever has not ended by then never will. */
constexpr std::chrono::seconds endPatience(9);
/** Streams last so long that many are under way when a gateway is killed. */
constexpr Millis releaseEventInterval = Millis(80);
/** For how long a server that crashed is away. */
constexpr std::chrono::milliseconds crashTime(1500);
/** From fork() until the gateway handles signals, with room for a busy machine. */
constexpr Millis startUp = Millis(300);

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

int VersionHistory::serving(const std::string &version, Millis from, Millis to) const
{
    std::map<std::size_t, std::string> at;
    std::set<std::size_t> changed;
    for (const Change &change : changes_) {
        if (change.at <= from)
            at[change.server] = change.version;
        else if (change.at <= to)
            changed.insert(change.server);
    }
    int count = 0;
    for (const auto &[server, had] : at)
        count += had == version && changed.count(server) == 0 ? 1 : 0;
    return count;
}

GatewayProcess::GatewayProcess(std::string program, std::string directory, std::string name)
    : callersPort(freePorts()), adminPort(freePorts()), linksPort(freePorts(2)),
      program_(std::move(program)), directory_(std::move(directory)), name_(std::move(name))
{ }

void GatewayProcess::start(const std::string &settings, bool isLogUnread)
{
    const std::string path = directory_ + "/" + name_ + ".conf";
    std::ofstream(path) << settings;
    const std::string log = directory_ + "/" + name_ + ".log";
    isKillExpected_ = false;
    complaint_.clear();
    startedAt_ = bootTime();
    std::array<int, 2> unread{-1, -1};
    if (isLogUnread && pipe(unread.data()) != 0)
        throw std::runtime_error("no pipe for a log");
    const int output = isLogUnread
        ? unread[1]
        : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    process_.start({program_, {"--settings", path}, output, 0});
    ::close(output);
    ::close(std::exchange(unreadLog_, unread[0]));
}

void GatewayProcess::signal(int number)
{
    if (number == SIGTERM) {
        termAt_ = bootTime();
        stoppedAt_.push_back(termAt_);
    }
    signalledAt_.push_back(bootTime());
    process_.signal(number);
}

void GatewayProcess::notePeak()
{
    peakKilobytes_ = std::max(peakKilobytes_, platform::statusKilobytes(process_.pid(), "VmHWM"));
}

bool GatewayProcess::hasEnded()
{
    if (!process_.isRunning())
        return true;
    const std::optional<int> end = process_.collectEnd();
    if (!end)
        return false;
    const int status = *end;
    const bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL && isKillExpected_;
    const bool isOrderly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    // A stop can be asked for before the program's main() has begun; it has nothing to finish then.
    const bool isStillborn =
        WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM && termAt_ - startedAt_ < startUp;
    if (!wasKilled && !isOrderly && !isStillborn) {
        complaint_ = name_ + " ended by itself: " + platform::describeEnd(status);
    }
    return true;
}

Fleet::Fleet(const SoakOptions &options) : options_(options)
{
    store = std::make_unique<platform::StandinStore>(thread_);
    Reason reason;
    if (!store->listen(&reason))
        throw std::runtime_error(reason.toString());
    for (int i = 0; i < options.servers; ++i) {
        servers.push_back(std::make_unique<platform::StandinServer>(
            thread_, "s-" + std::to_string(i), record_,
            seededRandom(options.seed * 100 + static_cast<std::uint64_t>(i))));
        if (!servers.back()->listen(&reason))
            throw std::runtime_error(reason.toString());
    }
    for (std::size_t i = 0; options.hasReleases && i < servers.size(); ++i) {
        servers[i]->setSoftwareVersion("v1");
        servers[i]->setEventInterval(releaseEventInterval);
        versions_.add(i, "v1");
    }
    for (int i = 0; i < options.instances; ++i) {
        const std::string &program =
            isOther(static_cast<std::size_t>(i)) ? options.otherGateway : options.gateway;
        gateways.push_back(std::make_unique<GatewayProcess>(program, options.directory,
                                                            "instance-" + std::to_string(i)));
    }
    for (int i = 0; i < options.instances; ++i)
        makeProxies();
}

void Fleet::makeProxies()
{
    std::map<std::string, std::string> addresses;
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    for (const auto &server : servers) {
        // Where paths are cut, the proxy that refuses connections must be the one that is called.
        const bool isRepeaterBehind = options_.hasCuts;
        const std::size_t index = proxies.size();
        const std::uint16_t target =
            isRepeaterBehind ? addPath(proxies_.size(), index, server->port()) : server->port();
        proxies.push_back(std::make_unique<FaultProxy>(thread_, target));
        const std::uint16_t proxy = proxies.back()->port();
        addresses[loopback(server->port())] =
            loopback(isRepeaterBehind ? proxy : addPath(proxies_.size(), index, proxy));
    }
    proxies_.push_back(std::move(proxies));
    const std::uint16_t view = store->addView([addresses](std::string body) {
        for (const auto &[own, proxy] : addresses) {
            for (auto at = body.find(own); at != std::string::npos; at = body.find(own, at + 1))
                body.replace(at, own.size(), proxy);
        }
        return body;
    });
    storeProxies.push_back(std::make_unique<FaultProxy>(thread_, view));
}

std::uint16_t Fleet::addPath(std::size_t gateway, std::size_t server, std::uint16_t target)
{
    if (options_.responseFaults.empty())
        return target;
    ResponseFaultRates rates;
    rates.faults = options_.responseFaults;
    repeaters_.push_back(std::make_unique<ResponseRepeater>(
        spoiling_, target, std::move(rates),
        seededRandom(options_.seed * 10000 + gateway * 100 + server)));
    return repeaters_.back()->port();
}

std::vector<SpoiltResponse> Fleet::spoilt()
{
    std::vector<SpoiltResponse> all;
    spoiling_.run([this, &all] {
        for (const auto &repeater : repeaters_)
            all.insert(all.end(), repeater->spoilt().begin(), repeater->spoilt().end());
    });
    return all;
}

void Fleet::forEachProxy(std::size_t server, const std::function<void(FaultProxy &)> &function)
{
    for (std::size_t gateway = 0; gateway < proxies_.size(); ++gateway) {
        if (cutGateways_.count(gateway) == 0)
            function(*proxies_[gateway][server]);
    }
}

bool Fleet::isOther(std::size_t gateway) const
{
    return !options_.otherGateway.empty() && gateway % 2 == 1;
}

void Fleet::cutGateway(std::size_t gateway, PathCut cut)
{
    // Another build may carry nothing, so one gateway of this one must be left to carry.
    if (!options_.otherGateway.empty() && gateway != 0)
        return;
    cutGateways_.insert(gateway);
    cutSpans_[gateways[gateway]->callersPort].push_back({bootTime(), Millis::never()});
    for (const auto &proxy : proxies_[gateway])
        cutPath(*proxy, cut);
}

void Fleet::healGateways()
{
    for (const std::size_t gateway : std::exchange(cutGateways_, {})) {
        cutSpans_[gateways[gateway]->callersPort].back().end = bootTime();
        for (const auto &proxy : proxies_[gateway])
            healPath(*proxy);
    }
}

Fleet::~Fleet()
{
    for (const auto &gateway : gateways) {
        gateway->signal(SIGCONT);
        gateway->signal(SIGKILL);
    }
    spoiling_.stop();
    spoiling_.join();
    for (const auto &repeater : repeaters_)
        repeater->close();
    spoiling_.runLeftovers();
    repeaters_.clear();
    thread_.stop();
    thread_.join();
    for (const auto &server : servers)
        server->closeAll();
    store->closeAll();
    thread_.runLeftovers();
    proxies_.clear();
    storeProxies.clear();
    servers.clear();
    store.reset();
    thread_.runLeftovers();
}

void Fleet::list(std::size_t index)
{
    const std::string &version = servers[index]->softwareVersion();
    store->write("servers", servers[index]->id(),
                 platform::standinEntry(servers[index]->port(), servers[index]->incarnation(),
                                        version.empty() ? "v1" : version));
}

void Fleet::restartServer(std::size_t index)
{
    servers[index]->restart();
    list(index);
}

void Fleet::releaseServer(std::size_t index, const std::string &softwareVersion)
{
    store->remove("servers", servers[index]->id());
    servers[index]->restartAs("s-" + std::to_string(index) + "." + std::to_string(++releases_),
                              softwareVersion);
    versions_.add(index, softwareVersion);
    list(index);
    forEachProxy(index, [](FaultProxy &proxy) { proxy.resetAll(); });
    noteLinkChange(index, isLinkHarmed(index));
}

void Fleet::setFatalPart()
{
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i]->setFatalPart(fatalPart);
        servers[i]->setCrashHook([this, i] { crash(i); });
    }
}

void Fleet::crash(std::size_t index)
{
    crashes_.push_back(bootTime());
    noteLinkChange(index, true);
    for (const auto &proxies : proxies_)
        cutPath(*proxies[index], PathCut::Reset);
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread_.io());
    timer->expires_after(crashTime);
    timer->async_wait([this, index, timer](const boost::system::error_code &error) {
        if (error)
            return;
        forEachProxy(index, healPath);
        noteLinkChange(index, false);
        restartServer(index);
    });
}

void Fleet::start()
{
    thread_.start();
    spoiling_.start();
    configure(true);
    onThread([this] {
        for (std::size_t i = 0; i < servers.size(); ++i)
            list(i);
    });
    for (std::size_t i = 0; i < gateways.size(); ++i)
        startGateway(i);
    hasStarted_ = true;
}

void Fleet::configure(bool hasSecondKey)
{
    auto configuration = platform::standinConfiguration(++version_, hasSecondKey);
    for (auto &route : configuration["routes"])
        route["sticky"] = options_.hasIncidents && route["name"] == "stream";
    onThread([this, &configuration] { store->write("config", "main", configuration); });
}

void Fleet::startGateway(std::size_t index)
{
    GatewayProcess &gateway = *gateways[index];
    platform::StandinPorts ports;
    ports.callers = gateway.callersPort;
    ports.admin = gateway.adminPort;
    ports.readiness = freePorts();
    ports.links = gateway.linksPort;
    ports.store = storeProxies[index]->port();
    const std::string settings =
        platform::standinSettings("instance-" + std::to_string(index), ports);
    const bool isFirstStart = (options_.hasCuts || options_.hasReleases) && !hasStarted_;
    const std::string memory = options_.responseFaults.empty()
        ? ""
        : "limits.memoryMb=" + std::to_string(memoryLimitMegabytes) + "\n";
    gateway.start(settings + memory + (isFirstStart ? "bootstrap=true\n" : ""),
                  options_.isLogUnread);
}

std::vector<std::string> Fleet::stop()
{
    std::vector<std::string> complaints;
    for (const auto &gateway : gateways) {
        gateway->signal(SIGCONT);
        gateway->signal(SIGTERM);
    }
    const auto until = std::chrono::steady_clock::now() + endPatience;
    for (const auto &gateway : gateways) {
        // Asked to stop again and again, also while it ends, it must still end in order.
        while (!gateway->hasEnded() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            gateway->signal(SIGTERM);
        }
        if (gateway->isRunning())
            complaints.push_back("a gateway did not end within its grace");
        if (!gateway->complaint().empty())
            complaints.push_back(gateway->complaint());
    }
    return complaints;
}

} // namespace cuminrail::soak

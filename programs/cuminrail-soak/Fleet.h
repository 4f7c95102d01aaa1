#pragma once

#include "StatementJudge.h"
#include "platform/testing/ChildProcess.h"
#include "platform/testing/StandinServer.h"
#include "platform/testing/StandinStore.h"
#include "runtime/time/BootClock.h"
#include "standin/proxy/PathCut.h"
#include "standin/proxy/ResponseRepeater.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cuminrail::soak {

/** The part of prompts that ends servers. */
inline constexpr const char *fatalPart = "dead01";

/** The memory that the settings of gateways allow where responses are spoilt. */
inline constexpr long memoryLimitMegabytes = 260;

/** What a run is made of. */
struct SoakOptions
{
    std::string gateway;
    /** Every second gateway runs this program instead, and only the first is cut; for two builds.
     */
    std::string otherGateway;
    std::uint64_t seed = 1;
    int seconds = 20;
    int instances = 3;
    int servers = 4;
    int callers = 12;
    std::string directory;
    /** Gateways lose the path to all servers, besides the other faults. */
    bool hasCuts = false;
    /** Servers are replaced by others with another version of their software. */
    bool hasReleases = false;
    /** Prompts have parts, one of which crashes servers; responses end with their connections; most
        new connections go to one gateway. */
    bool hasIncidents = false;
    /** How responses are spoilt on their way; none by default. */
    std::vector<ResponseFault> responseFaults;
    /** Percent of requests that servers refuse beside spoilt responses. */
    int refusals = 5;
    /** The gateways write their logs to a pipe that nobody reads. */
    bool isLogUnread = false;
};

/** Versions of the servers' software, from each moment on. */
class VersionHistory
{
public:
    void add(std::size_t server, const std::string &version)
    {
        changes_.push_back({bootTime(), server, version});
    }
    /** Returns how many servers had a version all the time. */
    int serving(const std::string &version, Millis from, Millis to) const;

private:
    struct Change
    {
        Millis at;
        std::size_t server = 0;
        std::string version;
    };

    std::vector<Change> changes_;
};

/** A gateway as a process of its own. Only processes started here are ever signalled. */
class GatewayProcess
{
public:
    GatewayProcess(std::string program, std::string directory, std::string name);

    /** With @c isLogUnread its output goes to a pipe that nobody reads. */
    void start(const std::string &settings, bool isLogUnread);
    void signal(int number);
    /** Collects the end if there is one. Returns false while the process runs. */
    bool hasEnded();
    bool isRunning() const { return process_.isRunning(); }
    /** Set when the process ended in a way that nobody asked for. */
    const std::string &complaint() const { return complaint_; }
    void expectKill() { isKillExpected_ = true; }
    /** Reads the most memory that the process needed so far. */
    void notePeak();
    /** Returns the most memory that was read, over all starts. */
    long peakMegabytes() const { return peakKilobytes_ / 1024; }
    /** When it was asked to stop. */
    const std::vector<Millis> &stoppedAt() const { return stoppedAt_; }
    /** When a signal was sent to it. */
    const std::vector<Millis> &signalledAt() const { return signalledAt_; }

    std::uint16_t callersPort = 0;
    std::uint16_t adminPort = 0;
    /** Kept over restarts, as instances keep their addresses. */
    std::uint16_t linksPort = 0;

private:
    std::string program_;
    std::string directory_;
    std::string name_;
    platform::ChildProcess process_;
    bool isKillExpected_ = false;
    /** The reading end of a log that stays unread. */
    int unreadLog_ = -1;
    Millis startedAt_;
    Millis termAt_;
    std::vector<Millis> signalledAt_;
    std::vector<Millis> stoppedAt_;
    std::string complaint_;
    long peakKilobytes_ = 0;
};

/** The store, the servers behind proxies, and the gateways. */
class Fleet
{
public:
    explicit Fleet(const SoakOptions &options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void start();
    /** Ends all processes and returns what any of them did unasked. */
    std::vector<std::string> stop();
    void startGateway(std::size_t index);

    /** A server that left starts again under its id and address. Call on the stand-ins' thread. */
    void restartServer(std::size_t index);
    /** A server ends, and one with other software starts at its address, under another id. Call on
        the stand-ins' thread. */
    void releaseServer(std::size_t index, const std::string &softwareVersion);
    /** From now on a request with the fatal part ends its server, which is back after a while. Call
        on the stand-ins' thread. */
    void setFatalPart();
    /** Returns when servers ended under requests with the fatal part. */
    const std::vector<Millis> &crashes() const { return crashes_; }
    /** The link to a server was harmed, healed or reset. */
    void noteLinkChange(std::size_t server, bool isHarmed)
    {
        linkChanges_[server].push_back({bootTime(), isHarmed});
    }
    bool isLinkHarmed(std::size_t server) const
    {
        const auto found = linkChanges_.find(server);
        return found != linkChanges_.end() && found->second.back().isHarmed;
    }
    std::vector<LinkChange> linkChanges(std::size_t server) const
    {
        const auto found = linkChanges_.find(server);
        return found == linkChanges_.end() ? std::vector<LinkChange>() : found->second;
    }
    /** Calls a function with each proxy to a server, but those of gateways that are cut. */
    void forEachProxy(std::size_t server, const std::function<void(FaultProxy &)> &function);
    /** Cuts a gateway from all servers. Call on the stand-ins' thread, as healGateways(). */
    void cutGateway(std::size_t gateway, PathCut cut);
    void healGateways();
    /** Returns the spans in which gateways were cut, by their ports for callers. */
    const std::map<std::uint16_t, std::vector<CutSpan>> &cutSpans() const { return cutSpans_; }
    /** Writes a configuration; the second customer's first key can be left out. */
    void configure(bool hasSecondKey);
    /** Runs a function on the stand-ins' thread. */
    void onThread(const std::function<void()> &function) { thread_.run(function); }

    /** Returns the responses that were spoilt. */
    std::vector<SpoiltResponse> spoilt();
    /** Reads the most memory that each gateway needed so far. */
    void notePeaks()
    {
        for (const auto &gateway : gateways)
            gateway->notePeak();
    }

    const VersionHistory &versions() const { return versions_; }
    platform::ServerRequestLog &record() { return record_; }
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    std::vector<std::unique_ptr<platform::StandinServer>> servers;
    std::unique_ptr<platform::StandinStore> store;
    /** In front of the store, one for each gateway. */
    std::vector<std::unique_ptr<FaultProxy>> storeProxies;

private:
    bool isOther(std::size_t gateway) const;
    void list(std::size_t index);
    void crash(std::size_t index);
    /** Returns the port of what spoils a server's responses before the target, or the target. */
    std::uint16_t addPath(std::size_t gateway, std::size_t server, std::uint16_t target);
    /** Makes the proxies through which a gateway reaches the servers and the store. */
    void makeProxies();

    SoakOptions options_;
    IoThread thread_;
    /** Bytes without end must not delay the servers. */
    IoThread spoiling_;
    platform::ServerRequestLog record_;
    std::uint64_t version_ = 0;
    std::uint64_t releases_ = 0;
    VersionHistory versions_;
    /** All gateways were started once. */
    bool hasStarted_ = false;
    std::map<std::size_t, std::vector<LinkChange>> linkChanges_;
    /** To each server, for each gateway. */
    std::vector<std::vector<std::unique_ptr<FaultProxy>>> proxies_;
    std::vector<std::unique_ptr<ResponseRepeater>> repeaters_;
    std::map<std::uint16_t, std::vector<CutSpan>> cutSpans_;
    std::set<std::size_t> cutGateways_;
    std::vector<Millis> crashes_;
};

} // namespace cuminrail::soak

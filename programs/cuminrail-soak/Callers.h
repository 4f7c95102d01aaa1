#pragma once

#include "core/names/NameTable.h"
#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "net/testing/TestSocket.h"
#include "platform/testing/StandinServer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cuminrail::soak {

/** How long callers wait for an answer, as they state. */
inline constexpr Millis callPatience(4000);

enum class CallKind : std::uint8_t { Safe, Unsafe, Stream, Once };

inline constexpr NameTable<CallKind, 4> callKindNames{{{
    {CallKind::Safe, "safe"},
    {CallKind::Unsafe, "unsafe"},
    {CallKind::Stream, "stream"},
    {CallKind::Once, "once"},
}}};

/** One request and what its caller saw of it. */
struct CallResult
{
    std::string id;
    CallKind kind = CallKind::Safe;
    std::string customer;
    /** Identity of the request that began the stream, if this one takes it up, and the last event
        that its caller has. */
    std::string resumes;
    int resumeAfter = 0;
    /** The first parts of the prompt; empty for a request without one. */
    std::vector<std::string> parts;
    bool hasLargeBody = false;
    /** Its server's response has no end. */
    bool hadNoEnd = false;
    /** The port of the gateway to which it was sent. */
    std::uint16_t gateway = 0;
    Millis sentAt;
    /** From sending to the end of the answer. */
    double tookMillis = 0;
    /** 0 when no status came. */
    int status = 0;
    /** The answer ended as a whole one does. */
    bool isWhole = false;
    /** The connection was made and the request sent. */
    bool wasSent = false;
    std::string text;
};

/** Callers on threads of their own, each with one connection that it keeps while it can. */
class Callers
{
public:
    Callers(std::vector<std::uint16_t> ports, int count, std::uint64_t seed);
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** Streams have prompts that share parts. Set before start(). */
    bool hasPrompts = false;
    /** Some requests have bodies that their sender can't send at once. Set before start(). */
    bool hasLargeBodies = false;
    /** Callers open new connections more often, and most of them to one gateway; none with -1. */
    void favour(int gateway) { favoured_ = gateway; }

    void start();
    void stop();
    std::vector<CallResult> results() const;

private:
    void run(int number);
    /** Returns the gateway that a new connection goes to. */
    std::uint16_t nextGateway(const RandomHook &random) const;
    /** Sends a request over the socket, on a new connection if it has none, and reads the response.
     */
    void call(testing::TestSocket &socket, CallResult &result) const;
    /** Takes a broken stream up at other gateways, a few times. */
    void takeUp(const CallResult &broken, const RandomHook &random);
    void add(CallResult result);

    std::vector<std::uint16_t> ports_;
    int count_;
    std::uint64_t seed_;
    std::atomic<bool> isStopping_{false};
    std::atomic<int> favoured_{-1};
    std::vector<std::thread> threads_;
    mutable std::mutex mutex_;
    std::vector<CallResult> results_;
};

/** What callers got of streams, over all requests of each. */
struct StreamFigures
{
    int begun = 0;
    /** New streams that a gateway answered. */
    int attempts = 0;
    int takenUp = 0;
    /** Of these, answered by a gateway while two servers of the stream's version served. */
    int possible = 0;
    int wentOn = 0;
    /** Those that did not, each with its gateways and responses, for tracing. */
    std::vector<std::string> lost;

    void add(const StreamFigures &other);
    /** Whether streams go on nearly as often as new ones begin; true with too few of them. */
    bool isShareKept() const;
    std::string text() const;
};

/** Returns how many servers had a version all the time between two moments. */
using ServingHook = std::function<int(const std::string &version, Millis from, Millis to)>;

/** Adds what is wrong with streams that were taken up; returns how many went on. */
StreamFigures judgeStreams(const std::vector<CallResult> &results, const ServingHook &serving,
                           std::vector<std::string> &broken);

/** Returns what of the promises to callers is broken, one line each. */
std::vector<std::string> judge(const std::vector<CallResult> &results,
                               const platform::ServerRequestLog &record, Millis southWithdrawnAt);

} // namespace cuminrail::soak

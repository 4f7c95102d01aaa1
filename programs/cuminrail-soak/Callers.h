#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "platform/testing/StandinServer.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cuminrail::soak {

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

    void start();
    void stop();
    std::vector<CallResult> results() const;

private:
    void run(int number);

    std::vector<std::uint16_t> ports_;
    int count_;
    std::uint64_t seed_;
    std::atomic<bool> isStopping_{false};
    std::vector<std::thread> threads_;
    mutable std::mutex mutex_;
    std::vector<CallResult> results_;
};

/** Returns what of the promises to callers is broken, one line each. */
std::vector<std::string> judge(const std::vector<CallResult> &results,
                               const platform::ServerRequestLog &record, Millis southWithdrawnAt);

} // namespace cuminrail::soak

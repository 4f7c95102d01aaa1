#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "dataplane/model/CustomerQuota.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Whether a request of a route may be retried when the result of an attempt is unknown. */
enum class RouteKind : std::uint8_t {
    /** Idempotent: may be executed more than once. */
    Safe,
    /** Executed at most once. */
    Unsafe,
    /** The response is a series of numbered events; resumable only if Route::canResume is set. */
    Stream,
};

inline constexpr NameTable<RouteKind, 3> routeKindNames{{{
    {RouteKind::Safe, "safe"},
    {RouteKind::Unsafe, "unsafe"},
    {RouteKind::Stream, "stream"},
}}};

/** One of the services among which a route's requests are divided. */
struct RouteTarget
{
    std::string service;
    /** Share of the requests, relative to the sum of all weights of the route. */
    std::uint32_t weight = 1;
};

/** Maps requests by host and path to services, with their time limits and priority. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    std::vector<RouteTarget> targets;
    /** Longest time from the request to the end of its response. */
    Millis timeout = Millis::seconds(10);
    /** Latency target: time to a complete response, or to the first event of a stream. */
    Millis goal = Millis::seconds(1);
    /** Target for the longest gap between two events of a stream. */
    Millis gapGoal = Millis::seconds(1);
    /** 0 is the most urgent. */
    int priority = 0;
    /** Number of upstreams to which one request may be sent, the first attempt included. */
    int maxAttempts = 1;
    /** Requests need no caller key. */
    bool isOpen = false;
    /** Requests carry prompts; engines that have a prompt's prefix cached are preferred. */
    bool hasPrompts = false;
    /** A broken stream may be continued at another upstream after its last delivered event. */
    bool canResume = false;

    /** Returns true when a request may be executed more than once. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && canResume);
    }
};

/** Declared properties of a service's engines, used until an engine has reported its own. */
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    /** Size of the KV cache of one token. */
    std::uint64_t cacheTokenBytes = 0;
    Millis handleLifetime = Millis::seconds(5);
    /** How long an engine is unavailable while it changes its role. */
    Millis roleSwitch = Millis::seconds(3);
};

/** Bounds for the number of a service's upstreams in each failure domain. */
struct ScaleBounds
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    Millis boot = Millis::seconds(5);
};

/** A group of interchangeable upstreams. */
struct Service
{
    std::string name;
    /** Connections that one upstream accepts from all instances together. */
    std::uint32_t maxConnections = 64;
    std::optional<EngineTraits> engine;
    std::optional<ScaleBounds> scale;
};

/** Limits on the size of a caller's request and on the time to send it. */
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    Millis headTimeout = Millis::seconds(3);
    Millis idleTimeout = Millis::seconds(15);
};

/** A customer with the keys that are currently valid for its callers. */
struct CustomerKeys
{
    std::string customer;
    std::vector<std::string> keys;
    /** Takes precedence over the routes' priorities. */
    std::optional<int> priority = std::nullopt;
    /** Not set for a customer without a limit. */
    std::optional<CustomerQuota> quota = std::nullopt;
};

/** One version of everything that operators declare. */
struct Configuration
{
    /** Increases with every change; versions need not be consecutive. */
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<CustomerKeys> customers;
};

} // namespace cuminrail

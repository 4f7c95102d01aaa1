#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "dataplane/model/CustomerQuota.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** What may be done with a request of a route when an attempt's result is unknown. */
enum class RouteKind : std::uint8_t {
    /** Idempotent: may run more than once. */
    Safe,
    /** Runs at most once. */
    Unsafe,
    /** Answers with a series of numbered events; resumable only where the route says so. */
    Stream,
};

inline constexpr NameTable<RouteKind, 3> routeKindNames{{{
    {RouteKind::Safe, "safe"},
    {RouteKind::Unsafe, "unsafe"},
    {RouteKind::Stream, "stream"},
}}};

/** One of the services that share a route's requests. */
struct RouteTarget
{
    std::string service;
    /** Its part of the requests, against the sum of all weights of the route. */
    std::uint32_t weight = 1;
};

/** Which requests go to which service, and how long they may take. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    std::vector<RouteTarget> targets;
    /** The longest that a caller is kept waiting for the end of its answer. */
    Millis timeout = Millis::seconds(10);
    /** The time to a whole answer, or to a stream's first event, that counts as good service. */
    Millis goal = Millis::seconds(1);
    /** The longest pause between two events of a stream that counts as good service. */
    Millis gapGoal = Millis::seconds(1);
    /** 0 is the most urgent. */
    int priority = 0;
    /** To how many upstreams one request may be sent. */
    int maxAttempts = 1;
    /** Needs no caller key. */
    bool isOpen = false;
    /** Carries prompts, which run best where their first parts are cached. */
    bool hasPrompts = false;
    /** A stream may go on at another upstream after its last delivered event. */
    bool canResume = false;

    /** Returns true when a request may run more than once. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && canResume);
    }
};

/** What is known of a service's engines before any of them has been seen. */
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    /** Size of one cached token. */
    std::uint64_t cacheTokenBytes = 0;
    Millis handleLifetime = Millis::seconds(5);
    /** How long an engine is away while it changes its role. */
    Millis roleSwitch = Millis::seconds(3);
};

/** Within which bounds a service's upstreams may be ordered, for each failure domain. */
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

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    Millis headTimeout = Millis::seconds(3);
    Millis idleTimeout = Millis::seconds(15);
};

/** A customer with the keys that its callers may use at present. */
struct CustomerKeys
{
    std::string customer;
    std::vector<std::string> keys;
    /** Takes precedence over the routes' priorities. */
    std::optional<int> priority = std::nullopt;
    /** Not set for a customer that may use as much as it likes. */
    std::optional<CustomerQuota> quota = std::nullopt;
};

/** All that operators declare, as of one version. */
struct Configuration
{
    /** Rises with every change; versions need not be consecutive. */
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<CustomerKeys> customers;
};

} // namespace cuminrail

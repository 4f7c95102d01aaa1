#pragma once

#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminrail {

/** Which of two waiting requests a customer would rather see answered. */
enum class Priority : std::uint8_t {
    /** Someone sits and waits. */
    Interactive,
    Standard,
    /** May wait, and may run on reclaimable upstreams. */
    Batch,
};

inline constexpr NameTable<Priority, 3> priorityNames{{{
    {Priority::Interactive, "interactive"},
    {Priority::Standard, "standard"},
    {Priority::Batch, "batch"},
}}};

/** What one customer may use, summed over all instances. Zero means no limit. */
struct CustomerLimits
{
    double requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
    /** Prompt and output tokens together. */
    double tokensPerSecond = 0;
};

/** A customer of a team. */
struct CustomerSettings
{
    CustomerId id;
    TeamId team;
    /** Share of contended capacity relative to other customers. */
    double weight = 1;
    Priority priority = Priority::Standard;
    CustomerLimits limits;
    /** Models the customer may call; empty means all. */
    std::vector<ModelId> models;
};

/** A team and its customers: subtree "teams/<team>". */
struct TeamSettings
{
    TeamId id;
    /** Share of the team's work that may run on reclaimable upstreams, 0 to 1. */
    double reclaimableShare = 0;
    std::vector<CustomerSettings> customers;
    /** Days on which the operators expect a peak: "2026-12-24", with a factor on capacity. */
    struct ExpectedDay
    {
        std::string date;
        double factor = 1;
    };
    std::vector<ExpectedDay> expectedDays;
};

/** A caller's key, known by its hash alone: an entry of subtree "keys/<team>". */
struct CallerKeySettings
{
    /** Lower-case hexadecimal SHA-256 of the key. */
    std::string sha256;
    CustomerId customer;
    /** For operators; never sent to upstreams. */
    std::string label;
    /** A withdrawn key stays in the tree so that a lagging copy cannot bring it back. */
    bool withdrawn = false;
};

struct FailureDomainSettings
{
    FailureDomainId id;
    RegionId region;
    /** How many engines of the domain may be changing role at once. */
    std::uint32_t concurrentRoleChanges = 1;
};

/** A model with the version that is to serve. */
struct ModelSettings
{
    ModelId id;
    std::string version;
    std::vector<std::string> adapters;
    Millis firstTokenTarget{750};
    Millis tokenTarget{51};
    std::uint32_t maxPromptTokens = 131072;
    std::uint32_t maxOutputTokens = 8192;
};

/** A model engine. The role given here is the one it starts with. */
struct EngineSettings
{
    UpstreamId id;
    /** "10.0.1.4:8000" */
    std::string address;
    FailureDomainId domain;
    std::vector<ModelId> models;
    std::string role = "mixed";
    std::string costClass = "regular";
    bool checksFence = false;
    std::uint32_t concurrentRequests = 32;
    /** What the engine is expected to do alone, for estimates before it has been measured. */
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 1600;
};

/** A call of a plain service whose repetition matters. */
struct ServiceCallSettings
{
    std::string method;
    /** Path below the service's prefix, or a prefix of it that ends in "/". */
    std::string path;
    /** False: the call runs at most once, and needs an Idempotency-Key to be repeated safely. */
    bool repeatable = true;
    bool idempotencyKeyRequired = false;
};

struct ServiceUpstreamSettings
{
    UpstreamId id;
    std::string address;
    FailureDomainId domain;
};

/** A plain service, reached below a path prefix. */
struct ServiceSettings
{
    std::string name;
    /** "/services/lodging/" */
    std::string prefix;
    Millis timeout = Millis::seconds(30);
    std::vector<ServiceUpstreamSettings> upstreams;
    /** Calls not listed are repeatable only with GET, HEAD, OPTIONS. */
    std::vector<ServiceCallSettings> calls;
};

/** Subtree "fleet". */
struct FleetSettings
{
    std::vector<FailureDomainSettings> domains;
    std::vector<ModelSettings> models;
    std::vector<EngineSettings> engines;
    std::vector<ServiceSettings> services;
};

/** The whole tree, checked: every reference in it leads somewhere. */
struct Settings
{
    FleetSettings fleet;
    std::vector<TeamSettings> teams;
    std::vector<CallerKeySettings> keys;
};

} // namespace cuminrail

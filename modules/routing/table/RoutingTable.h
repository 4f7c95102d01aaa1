#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"
#include "ports/fleet/FleetOrdering.h"
#include "routing/table/LiveFacts.h"
#include "routing/table/StableIndexes.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminrail {

/** An upstream as routing sees it. What every decision reads comes first. */
struct RoutedUpstream
{
    DomainIndex domain = noIndex;
    /** Requests that it runs at once; 0 for no limit (plain services). */
    std::uint32_t slots = 0;
    EngineRole role = EngineRole::Mixed;
    CostClass costClass = CostClass::Regular;
    /** False while it leaves, changes role, or is not configured any more. */
    bool takesNewWork = false;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::vector<AdapterIndex> adapters;
    Incarnation incarnation = 0;
    UpstreamId id;
    std::string address;
};

/** Upstreams of one kind within a pool. */
struct PoolMembers
{
    std::vector<UpstreamIndex> all;
    /** The same ones by DomainIndex; shorter than the number of domains where none is there. */
    std::vector<std::vector<UpstreamIndex>> byDomain;

    bool empty() const { return all.empty(); }
    void add(UpstreamIndex upstream, DomainIndex domain);
};

/** The upstreams that serve one model or one plain service, new work alone. */
struct RoutingPool
{
    std::string name;
    bool isService = false;
    /** Beside mixed engines, also plain services. */
    PoolMembers mixed;
    PoolMembers prefill;
    PoolMembers decode;
    /** Consistent hashing over engines that read prompts: sorted points and their engines. */
    std::vector<std::pair<std::uint64_t, UpstreamIndex>> ring;
    Millis firstTokenTarget{750};
    Millis tokenTarget{51};

    /** Returns the upstream that a prefix hash belongs to, or noIndex for an empty pool. */
    UpstreamIndex home(std::uint64_t prefixHash) const;
    bool isEmpty() const { return mixed.empty() && prefill.empty() && decode.empty(); }
};

/** What a pool can carry, for admission. */
struct PoolCapacity
{
    /** Requests at once; 0 for no limit. */
    double slots = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    /** Speed at which one of them reads one prompt. */
    double enginePrefillTokensPerSecond = 0;
};

/** Where a call of a plain service goes, and whether it may be repeated. */
struct ServiceRoute
{
    PoolIndex pool = noIndex;
    Millis timeout = Millis::seconds(30);
    bool repeatable = true;
    bool idempotencyKeyRequired = false;
    /** The rest of the path, below the service's prefix. */
    std::string_view pathBelow;
};

/**
    Everything that a routing decision reads of settings and membership: immutable, and indexed.

    Built on the control thread by buildRoutingTable(), published to request threads by
    read-copy-update, read there without any lock. What changes with each request (outstanding
    work, ejections, cache hints) is in LiveLoads and PrefixHints, which outlive tables.
*/
class RoutingTable
{
public:
    /** Returns the pool of a model name as callers write it. */
    std::optional<PoolIndex> findModel(std::string_view model) const;

    /** Returns an adapter's number, for requests that name "model:adapter". */
    std::optional<AdapterIndex> findAdapter(std::string_view adapter) const;

    std::optional<CustomerIndex> findCustomer(const CustomerId &customer) const;

    /** Returns the service whose prefix matches the path, and the rules of this call. */
    std::optional<ServiceRoute> findService(std::string_view method, std::string_view path) const;

    /** Returns true when the customer may use the pool. */
    bool isAllowed(CustomerIndex customer, PoolIndex pool) const;

    TeamIndex teamOf(CustomerIndex customer) const { return customers_[customer].team; }
    std::uint64_t cacheSeedOf(CustomerIndex customer) const { return customers_[customer].seed; }
    double reclaimableShareOf(TeamIndex team) const { return reclaimableShares_[team]; }
    Priority priorityOf(CustomerIndex customer) const { return customers_[customer].priority; }

    const RoutingPool &pool(PoolIndex index) const { return pools_[index]; }
    std::size_t poolCount() const { return pools_.size(); }
    const RoutedUpstream &upstream(UpstreamIndex index) const { return upstreams_[index]; }
    std::size_t upstreamCount() const { return upstreams_.size(); }
    const std::string &domainName(DomainIndex index) const { return domainNames_[index]; }

    /** Returns what the pool's upstreams that take new work can carry together. */
    PoolCapacity capacity(PoolIndex pool) const;

    /** Returns the models a customer may use, for GET /v1/models. */
    std::vector<ModelId> modelsOf(CustomerIndex customer) const;

private:
    friend class RoutingTableBuilder;

    struct Customer
    {
        TeamIndex team = noIndex;
        std::uint64_t seed = 0;
        Priority priority = Priority::Standard;
        /** Sorted; empty means all. */
        std::vector<PoolIndex> pools;
        bool present = false;
    };

    struct Service
    {
        std::string prefix;
        PoolIndex pool = noIndex;
        Millis timeout;
        std::vector<ServiceCallSettings> calls;
    };

    std::vector<RoutedUpstream> upstreams_;
    std::vector<RoutingPool> pools_;
    std::vector<Customer> customers_;
    std::vector<double> reclaimableShares_;
    std::vector<std::string> domainNames_;
    std::vector<Service> services_;
    std::vector<std::pair<ModelId, PoolIndex>> models_;
    std::map<std::string, PoolIndex, std::less<>> modelPools_;
    std::map<std::string, AdapterIndex, std::less<>> adapters_;
    std::unordered_map<CustomerId, CustomerIndex> customerIndexes_;
};

/**
    Builds the table for these settings and facts. Control thread.

    An engine's reported role, models and adapters count more than its settings: work sent to an
    engine that has not loaded the model yet would come back as an error.
*/
RoutingTable buildRoutingTable(const Settings &settings, const LiveFacts &facts,
                               StableIndexes &indexes);

} // namespace cuminrail

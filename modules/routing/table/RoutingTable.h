#pragma once

#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"
#include "ports/fleet/FleetOrdering.h"
#include "routing/table/FleetState.h"
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

/** An upstream in the routing table. The members that every selection reads come first. */
struct RoutedUpstream
{
    DomainIndex domain = noIndex;
    /** Maximum concurrent requests; 0 for no limit (plain services). */
    std::uint32_t slots = 0;
    EngineRole role = EngineRole::Mixed;
    CostClass costClass = CostClass::Regular;
    /** False while it is leaving or changing its role, and when it is no longer configured. */
    bool takesNewWork = false;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::vector<AdapterIndex> adapters;
    Incarnation incarnation = 0;
    UpstreamId id;
    std::string address;
};

/** Upstreams of one role within a pool. */
struct PoolMembers
{
    std::vector<UpstreamIndex> all;
    /** The same upstreams by DomainIndex; may be shorter than the number of domains. */
    std::vector<std::vector<UpstreamIndex>> byDomain;

    bool empty() const { return all.empty(); }
    void add(UpstreamIndex upstream, DomainIndex domain);
};

/** The upstreams that take new work for one model or one plain service. */
struct RoutingPool
{
    std::string name;
    bool isService = false;
    /** Mixed engines; also the upstreams of plain services. */
    PoolMembers mixed;
    PoolMembers prefill;
    PoolMembers decode;
    /** Consistent-hash ring of the engines that run prefill: sorted points and their engines. */
    std::vector<std::pair<std::uint64_t, UpstreamIndex>> ring;
    Millis firstTokenTarget{750};
    Millis tokenTarget{51};

    /** Returns the upstream that consistent hashing maps a prefix to; noIndex for an empty pool. */
    UpstreamIndex home(std::uint64_t prefixHash) const;
    bool isEmpty() const { return mixed.empty() && prefill.empty() && decode.empty(); }
};

/** Total capacity of a pool's upstreams, for admission. */
struct PoolCapacity
{
    /** Maximum concurrent requests; 0 for no limit. */
    double slots = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    /** Mean prefill rate of a single engine. */
    double enginePrefillTokensPerSecond = 0;
};

/** The pool and the call rules of a request to a plain service. */
struct ServiceRoute
{
    PoolIndex pool = noIndex;
    Millis timeout = Millis::seconds(30);
    bool repeatable = true;
    bool idempotencyKeyRequired = false;
    /** The path after the service's prefix. */
    std::string_view subPath;
};

/**
    Immutable index of the settings and the engine state that routing reads.

    Built on the control thread by buildRoutingTable(), published to request threads by
    read-copy-update, and read there without a lock. State that changes with each request (requests
    in progress, ejections, cache hints) is in LiveLoads and PrefixHints, which outlive tables.
*/
class RoutingTable
{
public:
    /** Returns the pool of a model, by the name used in requests. */
    std::optional<PoolIndex> findModel(std::string_view model) const;

    /** Returns the index of an adapter, for requests that name "model:adapter". */
    std::optional<AdapterIndex> findAdapter(std::string_view adapter) const;

    std::optional<CustomerIndex> findCustomer(const CustomerId &customer) const;

    /** Returns the service with the longest prefix of the path, and the rules of this call. */
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

    /** Returns the total capacity of the pool's upstreams that take new work. */
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
        /** Allowed pools, sorted; empty means all. */
        std::vector<PoolIndex> pools;
        bool present = false;
    };

    struct Service
    {
        std::string prefix;
        PoolIndex pool = noIndex;
        Millis timeout;
        std::vector<ServiceCallSettings> callRules;
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
    Builds the table from the settings and the reported state. Control thread.

    An engine's reported role, models and adapters take precedence over its settings, because a
    request sent to an engine that has not loaded the model yet would fail.
*/
RoutingTable buildRoutingTable(const Settings &settings, const FleetState &fleetState,
                               StableIndexes &indexes);

} // namespace cuminrail

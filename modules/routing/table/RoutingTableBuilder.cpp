#include "routing/prefix/PrefixChain.h"
#include "routing/table/RoutingTable.h"

#include <algorithm>
#include <set>

namespace cuminrail {

namespace {

/** Points of each engine on the ring; enough that engines' shares differ by at most a quarter. */
constexpr int ringPointsPerEngine = 32;

std::string_view withoutVersion(std::string_view model)
{
    return model.substr(0, model.find('@'));
}

/** Which version of a model an engine serves, if any. */
enum class Availability : std::uint8_t { No, OtherVersion, DeclaredVersion };

Availability availabilityOf(const EngineSettings &engine, const ReportedEngineState *reported,
                            const ModelSettings &model)
{
    if (reported == nullptr || reported->models.empty()) {
        const bool listed =
            std::find(engine.models.begin(), engine.models.end(), model.id) != engine.models.end();
        return listed ? Availability::DeclaredVersion : Availability::No;
    }
    const std::string declared = model.id.text() + "@" + model.version;
    Availability best = Availability::No;
    for (const std::string &loaded : reported->models) {
        if (loaded == declared || loaded == model.id.text())
            return Availability::DeclaredVersion;
        if (withoutVersion(loaded) == model.id.text())
            best = Availability::OtherVersion;
    }
    return best;
}

} // namespace

/** Implements buildRoutingTable(). */
class RoutingTableBuilder
{
public:
    RoutingTableBuilder(const Settings &settings, const FleetState &fleetState,
                        StableIndexes &indexes)
        : settings_(settings), fleetState_(fleetState), indexes_(indexes)
    { }

    RoutingTable build()
    {
        addEngines();
        addServiceUpstreams();
        for (const ModelSettings &model : settings_.fleet.models)
            addModel(model);
        for (const ServiceSettings &service : settings_.fleet.services)
            addService(service);
        addTeams();
        for (std::size_t i = 0; i < indexes_.domains.size(); ++i)
            table_.domainNames_.push_back(
                indexes_.domains.name(static_cast<std::uint32_t>(i)).text());
        return std::move(table_);
    }

private:
    const ReportedEngineState *reportedState(const UpstreamId &engine) const
    {
        const auto entry = fleetState_.engines.find(engine);
        return entry == fleetState_.engines.end() ? nullptr : &entry->second;
    }

    RoutedUpstream &upstreamAt(const UpstreamId &id)
    {
        const UpstreamIndex index = indexes_.upstreams.indexOf(id);
        if (table_.upstreams_.size() <= index)
            table_.upstreams_.resize(index + 1);
        return table_.upstreams_[index];
    }

    RoutingPool &poolAt(PoolIndex index)
    {
        if (table_.pools_.size() <= index)
            table_.pools_.resize(index + 1);
        return table_.pools_[index];
    }

    void addEngines()
    {
        for (const EngineSettings &engine : settings_.fleet.engines) {
            const ReportedEngineState *reported = reportedState(engine.id);
            RoutedUpstream &routed = upstreamAt(engine.id);
            routed.id = engine.id;
            routed.address = engine.address;
            routed.domain = indexes_.domains.indexOf(engine.domain);
            routed.role = reported != nullptr
                ? reported->role
                : engineRoleNames.value(engine.role).value_or(EngineRole::Mixed);
            routed.costClass = costClassNames.value(engine.costClass).value_or(CostClass::Regular);
            routed.incarnation = reported != nullptr ? reported->incarnation : 0;
            routed.slots = engine.concurrentRequests;
            routed.prefillTokensPerSecond = engine.prefillTokensPerSecond;
            routed.decodeTokensPerSecond = engine.decodeTokensPerSecond;
            routed.takesNewWork = routed.role != EngineRole::None
                && !fleetState_.leaving.contains(engine.id, routed.incarnation);
            if (reported != nullptr)
                addAdapters(routed, reported->adapters);
        }
    }

    void addAdapters(RoutedUpstream &routed, const std::vector<std::string> &adapters)
    {
        for (const std::string &adapter : adapters)
            routed.adapters.push_back(indexes_.adapters.indexOf(adapter));
    }

    void addServiceUpstreams()
    {
        for (const ServiceSettings &service : settings_.fleet.services) {
            for (const ServiceUpstreamSettings &upstream : service.upstreams) {
                const ReportedEngineState *reported = reportedState(upstream.id);
                RoutedUpstream &routed = upstreamAt(upstream.id);
                routed.id = upstream.id;
                routed.address = upstream.address;
                routed.domain = indexes_.domains.indexOf(upstream.domain);
                routed.incarnation = reported != nullptr ? reported->incarnation : 0;
                routed.takesNewWork =
                    !fleetState_.leaving.contains(upstream.id, routed.incarnation);
            }
        }
    }

    void addModel(const ModelSettings &model)
    {
        const PoolIndex index = indexes_.pools.indexOf(modelPoolName(model.id));
        RoutingPool &pool = poolAt(index);
        pool.name = model.id.text();
        pool.firstTokenTarget = model.firstTokenTarget;
        pool.tokenTarget = model.tokenTarget;
        for (const std::string &adapter : model.adapters)
            table_.adapters_.emplace(adapter, indexes_.adapters.indexOf(adapter));
        table_.modelPools_.emplace(model.id.text(), index);
        table_.models_.emplace_back(model.id, index);

        const Availability required = requiredAvailability(model);
        for (const EngineSettings &engine : settings_.fleet.engines) {
            const Availability availability =
                availabilityOf(engine, reportedState(engine.id), model);
            if (availability != Availability::No && availability >= required)
                addMember(pool, indexes_.upstreams.indexOf(engine.id));
        }
        buildRing(pool);
    }

    /**
        Returns which versions serve the model: during an update both of them, until half of the
        engines have loaded the declared one.

        If only the declared version served, the first engine to load it would get all of the
        model's traffic and fail under it, and then the second one.
    */
    Availability requiredAvailability(const ModelSettings &model) const
    {
        std::size_t declared = 0;
        std::size_t other = 0;
        for (const EngineSettings &engine : settings_.fleet.engines) {
            const Availability availability =
                availabilityOf(engine, reportedState(engine.id), model);
            declared += availability == Availability::DeclaredVersion ? 1 : 0;
            other += availability == Availability::OtherVersion ? 1 : 0;
        }
        return declared >= other ? Availability::DeclaredVersion : Availability::OtherVersion;
    }

    void addMember(RoutingPool &pool, UpstreamIndex index)
    {
        const RoutedUpstream &upstream = table_.upstreams_[index];
        if (!upstream.takesNewWork)
            return;
        switch (upstream.role) {
        case EngineRole::Mixed:
            pool.mixed.add(index, upstream.domain);
            break;
        case EngineRole::Prefill:
            pool.prefill.add(index, upstream.domain);
            break;
        case EngineRole::Decode:
            pool.decode.add(index, upstream.domain);
            break;
        case EngineRole::None:
            break;
        }
    }

    /** Points depend only on the engine's name, so that all instances map prefixes alike. */
    void buildRing(RoutingPool &pool)
    {
        std::vector<UpstreamIndex> prefillEngines = pool.mixed.all;
        prefillEngines.insert(prefillEngines.end(), pool.prefill.all.begin(),
                              pool.prefill.all.end());
        if (prefillEngines.empty())
            prefillEngines = pool.decode.all;
        for (UpstreamIndex index : prefillEngines) {
            const std::uint64_t seed = nameHash(table_.upstreams_[index].id.text());
            for (int point = 0; point < ringPointsPerEngine; ++point)
                pool.ring.emplace_back(mixHash(seed, static_cast<std::uint64_t>(point) + 1), index);
        }
        std::sort(pool.ring.begin(), pool.ring.end());
    }

    void addService(const ServiceSettings &service)
    {
        const PoolIndex index = indexes_.pools.indexOf(servicePoolName(service.name));
        RoutingPool &pool = poolAt(index);
        pool.name = service.name;
        pool.isService = true;
        for (const ServiceUpstreamSettings &upstream : service.upstreams)
            addMember(pool, indexes_.upstreams.indexOf(upstream.id));
        table_.services_.push_back({service.prefix, index, service.timeout, service.calls});
    }

    void addTeams()
    {
        for (const TeamSettings &team : settings_.teams) {
            const TeamIndex teamIndex = indexes_.teams.indexOf(team.id);
            if (table_.reclaimableShares_.size() <= teamIndex)
                table_.reclaimableShares_.resize(teamIndex + 1);
            table_.reclaimableShares_[teamIndex] = team.reclaimableShare;
            for (const CustomerSettings &customer : team.customers)
                addCustomer(customer, teamIndex);
        }
    }

    void addCustomer(const CustomerSettings &customer, TeamIndex team)
    {
        const CustomerIndex index = indexes_.customers.indexOf(customer.id);
        if (table_.customers_.size() <= index)
            table_.customers_.resize(index + 1);
        RoutingTable::Customer &row = table_.customers_[index];
        row.present = true;
        row.team = team;
        row.seed = nameHash(customer.id.text());
        row.priority = customer.priority;
        for (const ModelId &model : customer.models)
            row.pools.push_back(indexes_.pools.indexOf(modelPoolName(model)));
        std::sort(row.pools.begin(), row.pools.end());
        table_.customerIndexes_.emplace(customer.id, index);
    }

    const Settings &settings_;
    const FleetState &fleetState_;
    StableIndexes &indexes_;
    RoutingTable table_;
};

RoutingTable buildRoutingTable(const Settings &settings, const FleetState &fleetState,
                               StableIndexes &indexes)
{
    return RoutingTableBuilder(settings, fleetState, indexes).build();
}

} // namespace cuminrail

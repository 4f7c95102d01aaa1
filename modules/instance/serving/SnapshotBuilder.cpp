#include "instance/serving/SnapshotBuilder.h"

namespace cuminrail {

SnapshotBuilder::SnapshotBuilder(FailureDomainId ownDomain) : ownDomain_(std::move(ownDomain))
{ }

std::unique_ptr<const ServingSnapshot> SnapshotBuilder::build()
{
    auto snapshot = std::make_unique<ServingSnapshot>();
    snapshot->generation = ++generation_;
    snapshot->routing = buildRoutingTable(settings_, facts_, indexes_);
    snapshot->keys = KeyRing(settings_.keys, withdrawnAhead_);
    snapshot->ownDomain = indexes_.domains.find(ownDomain_);
    snapshot->models.resize(indexes_.pools.size());
    for (const ModelSettings &model : settings_.fleet.models) {
        const PoolIndex pool = indexes_.pools.find(modelPoolName(model.id));
        if (pool != noIndex)
            snapshot->models[pool] = ModelRules{model.maxPromptTokens, model.maxOutputTokens};
    }
    for (std::uint32_t team = 0; team < indexes_.teams.size(); ++team)
        snapshot->teams.push_back(indexes_.teams.name(team));
    return snapshot;
}

} // namespace cuminrail

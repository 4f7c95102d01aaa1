#include "dataplane/placement/LeastLoaded.h"

#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail {

double LeastLoaded::cost(const UpstreamEntry &entry, const Query &query) const
{
    const double slots = std::max<std::uint32_t>(1, entry.slots);
    const double occupiedShare = open(entry.id) / slots;
    const double domainCost = entry.failureDomain == query.ownDomain ? 0.0 : domainPenalty;
    return occupiedShare + domainCost + badWeight * query.badShare(entry.id);
}

std::uint64_t LeastLoaded::preference(const UpstreamRecord &upstream, const Query &query)
{
    return StableHash().add(query.spreadKey).add(upstream.idHash()).value();
}

UpstreamPointer LeastLoaded::choose(const std::vector<UpstreamPointer> &upstreams,
                                    const Query &query) const
{
    UpstreamPointer best;
    UpstreamPointer bestEjected;
    double lowestCost = 0;
    double lowestEjectedCost = 0;
    for (const UpstreamPointer &upstream : upstreams) {
        const std::string &id = upstream->entry.id;
        if (query.tried->count(id) > 0)
            continue;
        const double upstreamCost = cost(upstream->entry, query);
        const bool isEjected = query.isEjected(id);
        UpstreamPointer &bestOfGroup = isEjected ? bestEjected : best;
        double &lowestOfGroup = isEjected ? lowestEjectedCost : lowestCost;
        const bool isEqual = bestOfGroup != nullptr && upstreamCost == lowestOfGroup;
        const bool isPreferred =
            isEqual && preference(*upstream, query) > preference(*bestOfGroup, query);
        if (bestOfGroup == nullptr || upstreamCost < lowestOfGroup || isPreferred) {
            bestOfGroup = upstream;
            lowestOfGroup = upstreamCost;
        }
    }
    return best != nullptr ? best : bestEjected;
}

void LeastLoaded::finished(const std::string &id)
{
    const auto found = open_.find(id);
    if (found != open_.end() && --found->second <= 0)
        open_.erase(found);
}

int LeastLoaded::open(const std::string &id) const
{
    const auto found = open_.find(id);
    return found == open_.end() ? 0 : found->second;
}

} // namespace cuminrail

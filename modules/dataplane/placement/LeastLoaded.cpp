#include "dataplane/placement/LeastLoaded.h"

#include <algorithm>

namespace cuminrail {

double LeastLoaded::cost(const UpstreamEntry &entry, const Query &query) const
{
    const double slots = std::max<std::uint32_t>(1, entry.slots);
    const double taken = open(entry.id) / slots;
    const double away = entry.failureDomain == query.ownDomain ? 0.0 : domainPenalty;
    return taken + away + badWeight * query.badShare(entry.id);
}

UpstreamPointer LeastLoaded::choose(const std::vector<UpstreamPointer> &upstreams,
                                    const Query &query) const
{
    UpstreamPointer best;
    UpstreamPointer bestAside;
    double least = 0;
    double leastAside = 0;
    for (const UpstreamPointer &upstream : upstreams) {
        const std::string &id = upstream->entry.id;
        if (query.tried->count(id) > 0)
            continue;
        const double own = cost(upstream->entry, query);
        const bool isAside = query.isSetAside(id);
        UpstreamPointer &chosen = isAside ? bestAside : best;
        double &lowest = isAside ? leastAside : least;
        if (chosen == nullptr || own < lowest) {
            chosen = upstream;
            lowest = own;
        }
    }
    return best != nullptr ? best : bestAside;
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

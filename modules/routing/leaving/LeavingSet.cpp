#include "routing/leaving/LeavingSet.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

bool LeavingSet::mark(const LeavingUpstream &leaving)
{
    const auto [entry, added] = leaving_.emplace(leaving.upstream, leaving.incarnation);
    if (added)
        return true;
    if (entry->second >= leaving.incarnation)
        return false;
    entry->second = leaving.incarnation;
    return true;
}

bool LeavingSet::contains(const UpstreamId &upstream, Incarnation incarnation) const
{
    if (!guardEnabled(Guard::LeavingIsSticky))
        return false;
    const auto entry = leaving_.find(upstream);
    return entry != leaving_.end() && entry->second >= incarnation;
}

std::vector<LeavingUpstream> LeavingSet::entries() const
{
    std::vector<LeavingUpstream> all;
    all.reserve(leaving_.size());
    for (const auto &entry : leaving_)
        all.push_back(LeavingUpstream{entry.first, entry.second});
    return all;
}

void LeavingSet::retain(const std::vector<UpstreamId> &known)
{
    for (auto entry = leaving_.begin(); entry != leaving_.end();) {
        const bool keep = std::find(known.begin(), known.end(), entry->first) != known.end();
        entry = keep ? std::next(entry) : leaving_.erase(entry);
    }
}

} // namespace cuminrail

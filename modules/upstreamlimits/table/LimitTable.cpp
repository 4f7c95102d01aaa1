#include "upstreamlimits/table/LimitTable.h"

#include <cmath>

namespace cuminrail {

LimitChange LimitTable::take(const StatedLimit &stated)
{
    const auto found = known_.find(stated.life);
    // Nearly all upstreams state none, and need no entry for that.
    if (found == known_.end() && (!stated.perSecond || known_.size() >= mostEntries))
        return LimitChange::None;
    if (found != known_.end() && stated.heardAt < found->second.heardAt)
        return LimitChange::None;
    const auto before = found == known_.end() ? std::nullopt : found->second.perSecond;
    known_[stated.life] = stated;
    if (before.has_value() != stated.perSecond.has_value()) {
        limited_ += stated.perSecond ? 1 : -1;
        return LimitChange::Marked;
    }
    if (!before)
        return LimitChange::Slight;
    const bool isMarked = std::abs(*stated.perSecond - *before) > markedShare * *before;
    return isMarked ? LimitChange::Marked : LimitChange::Slight;
}

const StatedLimit *LimitTable::find(UpstreamLife life) const
{
    const auto found = known_.find(life);
    return found == known_.end() ? nullptr : &found->second;
}

std::optional<double> LimitTable::limit(UpstreamLife life) const
{
    const StatedLimit *stated = find(life);
    return stated == nullptr ? std::nullopt : stated->perSecond;
}

std::vector<StatedLimit> LimitTable::all() const
{
    std::vector<StatedLimit> all;
    for (const auto &[life, stated] : known_) {
        if (stated.perSecond)
            all.push_back(stated);
    }
    return all;
}

bool LimitTable::expire(Millis now)
{
    const std::size_t before = limited_;
    for (auto it = known_.begin(); it != known_.end();) {
        const bool isOver = now - it->second.heardAt >= keptFor;
        if (isOver && it->second.perSecond)
            --limited_;
        it = isOver ? known_.erase(it) : std::next(it);
    }
    return limited_ != before;
}

} // namespace cuminrail

#include "upstreamlimits/table/LimitTable.h"

#include <cmath>

namespace cuminrail {

LimitChange LimitTable::update(const StatedLimit &stated)
{
    const auto found = limits_.find(stated.incarnation);
    // Nearly all upstreams state no limit, and need no entry for that.
    if (found == limits_.end() && (!stated.perSecond || limits_.size() >= maxEntries))
        return LimitChange::None;
    if (found != limits_.end() && stated.receivedAt < found->second.receivedAt)
        return LimitChange::None;
    const auto before = found == limits_.end() ? std::nullopt : found->second.perSecond;
    limits_[stated.incarnation] = stated;
    if (before.has_value() != stated.perSecond.has_value()) {
        limited_ += stated.perSecond ? 1 : -1;
        return LimitChange::Marked;
    }
    if (!before)
        return LimitChange::Slight;
    const bool isMarked = std::abs(*stated.perSecond - *before) > markedChangeShare * *before;
    return isMarked ? LimitChange::Marked : LimitChange::Slight;
}

const StatedLimit *LimitTable::find(UpstreamIncarnation incarnation) const
{
    const auto found = limits_.find(incarnation);
    return found == limits_.end() ? nullptr : &found->second;
}

std::optional<double> LimitTable::limit(UpstreamIncarnation incarnation) const
{
    const StatedLimit *stated = find(incarnation);
    return stated == nullptr ? std::nullopt : stated->perSecond;
}

std::vector<StatedLimit> LimitTable::all() const
{
    std::vector<StatedLimit> all;
    for (const auto &[incarnation, stated] : limits_) {
        if (stated.perSecond)
            all.push_back(stated);
    }
    return all;
}

bool LimitTable::expire(Millis now)
{
    const std::size_t before = limited_;
    for (auto it = limits_.begin(); it != limits_.end();) {
        const bool isExpired = now - it->second.receivedAt >= retention;
        if (isExpired && it->second.perSecond)
            --limited_;
        it = isExpired ? limits_.erase(it) : std::next(it);
    }
    return limited_ != before;
}

} // namespace cuminrail

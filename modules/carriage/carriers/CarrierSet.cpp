#include "carriage/carriers/CarrierSet.h"

#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail {

CarrierSet::CarrierSet(std::string selfName, std::string ownDomain, Hooks hooks)
    : selfName_(std::move(selfName)), ownDomain_(std::move(ownDomain)), hooks_(std::move(hooks))
{ }

void CarrierSet::setCandidates(std::vector<CarrierCandidate> candidates)
{
    candidates_ = std::move(candidates);
    isRanked_ = false;
    next_ = 0;
    for (auto slot = slots_.begin(); slot != slots_.end();) {
        const bool isKnown =
            std::any_of(candidates_.begin(), candidates_.end(),
                        [&](const auto &each) { return each.address == slot->first; });
        slot = isKnown ? std::next(slot) : slots_.erase(slot);
    }
}

void CarrierSet::rank()
{
    isRanked_ = true;
    const auto hash = [this](const CarrierCandidate &each) {
        return StableHash().add(selfName_).add(each.address).value();
    };
    std::sort(candidates_.begin(), candidates_.end(),
              [&](const auto &left, const auto &right) { return hash(left) < hash(right); });
}

void CarrierSet::setWanted(bool isWanted, Millis now)
{
    if (isWanted == isWanted_)
        return;
    isWanted_ = isWanted;
    slots_.clear();
    excludedUntil_.clear();
    ownDomainExcludedUntil_ = Millis(-1);
    next_ = 0;
    if (isWanted)
        tick(now);
}

void CarrierSet::exclude(const PeerAddress &peer, Millis now)
{
    const auto slot = slots_.find(peer);
    if (slot == slots_.end())
        return;
    if (slot->second.isOwnDomain)
        ownDomainExcludedUntil_ = now + exclusion;
    excludedUntil_[peer] = now + exclusion;
    slots_.erase(slot);
}

void CarrierSet::tick(Millis now)
{
    if (!isWanted_)
        return;
    std::vector<PeerAddress> silent;
    for (const auto &[peer, slot] : slots_) {
        const Millis heardAt = slot.repliedAt.value_or(slot.since);
        // A carrier is asked in intervals, so its replies are that much older.
        const Millis allowed = slot.repliedAt ? replyTimeout + queryInterval : replyTimeout;
        if (now - heardAt > allowed)
            silent.push_back(peer);
    }
    for (const PeerAddress &peer : silent)
        exclude(peer, now);
    fillSlots(now);
    for (auto &[peer, slot] : slots_) {
        if (!hooks_.isLinked(peer) || now < slot.nextQueryAt)
            continue;
        slot.nextQueryAt = now + queryInterval;
        hooks_.query(peer);
    }
}

void CarrierSet::fillSlots(Millis now)
{
    if (!isRanked_)
        rank();
    std::size_t own = static_cast<std::size_t>(std::count_if(
        slots_.begin(), slots_.end(), [](const auto &slot) { return slot.second.isOwnDomain; }));
    const bool hasOthers =
        std::any_of(candidates_.begin(), candidates_.end(),
                    [&](const auto &each) { return each.failureDomain != ownDomain_; });
    const std::size_t mostOwn = !hasOthers ? links
        : now < ownDomainExcludedUntil_    ? 0
                                           : ownDomainLinks;
    for (std::size_t seen = 0; seen < candidates_.size() && slots_.size() < links; ++seen) {
        const CarrierCandidate &each = candidates_[next_ % candidates_.size()];
        next_ = (next_ + 1) % candidates_.size();
        const auto excluded = excludedUntil_.find(each.address);
        const bool isExcluded = excluded != excludedUntil_.end() && now < excluded->second;
        const bool isOwn = each.failureDomain == ownDomain_;
        if (isExcluded || slots_.count(each.address) > 0 || (isOwn && own >= mostOwn))
            continue;
        own += isOwn ? 1 : 0;
        slots_[each.address] = Slot{now, now, std::nullopt, false, isOwn, each.milliCores};
        hooks_.connect(each.address);
    }
}

void CarrierSet::noteStatus(const PeerAddress &from, bool canCarry, Millis now)
{
    const auto slot = slots_.find(from);
    if (slot == slots_.end())
        return;
    if (!canCarry) {
        exclude(from, now);
        return fillSlots(now);
    }
    slot->second.repliedAt = now;
    slot->second.canCarry = true;
}

void CarrierSet::noteClosed(const PeerAddress &peer, Millis now)
{
    if (slots_.count(peer) == 0)
        return;
    exclude(peer, now);
    fillSlots(now);
}

std::optional<PeerAddress> CarrierSet::choose(const std::set<PeerAddress> &tried) const
{
    std::optional<PeerAddress> best;
    double least = 0;
    for (const auto &[peer, slot] : slots_) {
        if (!slot.canCarry || tried.count(peer) > 0 || !hooks_.isLinked(peer))
            continue;
        const double load =
            double(1 + hooks_.carried(peer)) / double(std::max(1U, slot.milliCores));
        if (!best || load < least) {
            best = peer;
            least = load;
        }
    }
    return best;
}

bool CarrierSet::isSearching() const
{
    return std::any_of(slots_.begin(), slots_.end(),
                       [](const auto &slot) { return !slot.second.repliedAt; });
}

} // namespace cuminrail

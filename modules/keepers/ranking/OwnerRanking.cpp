#include "keepers/ranking/OwnerRanking.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

bool OwnerRanking::setPeers(std::vector<OwnerCandidate> peers)
{
    const std::vector<Ranked> before = std::exchange(owners_, {});
    for (OwnerCandidate &peer : peers) {
        const std::uint64_t hash = StableHash().add(peer.instance.text()).value();
        owners_.push_back({std::move(peer), hash});
    }
    // Those with the lowest hashes, so that an instance that joins or leaves changes one owner.
    std::sort(owners_.begin(), owners_.end(),
              [](const Ranked &one, const Ranked &other) { return one.hash < other.hash; });
    const std::size_t ownerCount = std::max(minOwners, owners_.size() / instancesPerOwner);
    owners_.resize(std::min(owners_.size(), ownerCount));
    const auto isSame = [](const Ranked &one, const Ranked &other) {
        return one.hash == other.hash && one.peer.address == other.peer.address;
    };
    return !std::equal(before.begin(), before.end(), owners_.begin(), owners_.end(), isSame);
}

std::vector<PeerAddress> OwnerRanking::addresses() const
{
    std::vector<PeerAddress> addresses;
    for (const Ranked &owner : owners_) {
        if (owner.peer.address != self_)
            addresses.push_back(owner.peer.address);
    }
    return addresses;
}

bool OwnerRanking::isOwner() const
{
    return std::any_of(owners_.begin(), owners_.end(),
                       [this](const Ranked &each) { return each.peer.address == self_; });
}

bool OwnerRanking::isExcluded(const PeerAddress &peer, Millis now) const
{
    const auto found = missedReplies_.find(peer);
    return found != missedReplies_.end() && now < found->second.excludedUntil;
}

template<typename IsSkipped>
const PeerAddress &OwnerRanking::firstAllowed(OwnershipKey key, IsSkipped isSkipped) const
{
    const Ranked *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Ranked &candidate : owners_) {
        const std::uint64_t score = StableHash().add(candidate.hash).add(key).value();
        if ((best != nullptr && score <= bestScore) || isSkipped(candidate.peer.address))
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best == nullptr ? self_ : best->peer.address;
}

const PeerAddress &OwnerRanking::primaryOwnerOf(OwnershipKey key) const
{
    return firstAllowed(key, [](const PeerAddress &) { return false; });
}

std::vector<PeerAddress> OwnerRanking::ownersOf(OwnershipKey key, std::size_t maxCount) const
{
    std::vector<PeerAddress> first;
    while (first.size() < std::min(maxCount, owners_.size())) {
        first.push_back(firstAllowed(key, [&first](const PeerAddress &peer) {
            return std::find(first.begin(), first.end(), peer) != first.end();
        }));
    }
    return first;
}

const PeerAddress &OwnerRanking::ownerOf(OwnershipKey key, Millis now) const
{
    return firstAllowed(key, [&](const PeerAddress &peer) { return isExcluded(peer, now); });
}

const PeerAddress &OwnerRanking::nextOwnerOf(const PeerAddress &unresponsive, OwnershipKey key,
                                             Millis now) const
{
    return firstAllowed(key, [&](const PeerAddress &peer) {
        return peer == unresponsive || isExcluded(peer, now);
    });
}

void OwnerRanking::recordMissedReply(const PeerAddress &peer, Millis now)
{
    MissedReplies &missed = missedReplies_[peer];
    if (++missed.count < maxMissedReplies)
        return;
    missed.excludedUntil = now + exclusionPeriod;
    // After that time one more missed reply excludes it again.
    missed.count = maxMissedReplies - 1;
}

} // namespace cuminrail

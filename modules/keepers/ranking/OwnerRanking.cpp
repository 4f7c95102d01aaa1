#include "keepers/ranking/OwnerRanking.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** An instance whose size is not known counts, but for next to nothing. */
std::uint64_t sizeOf(const OwnerCandidate &peer)
{
    return std::max<std::uint64_t>(1, peer.milliCores);
}

} // namespace

bool OwnerRanking::setPeers(std::vector<OwnerCandidate> peers, std::size_t leastOwners)
{
    const std::vector<Ranked> before = std::exchange(owners_, {});
    std::uint64_t allMilliCores = 0;
    for (OwnerCandidate &peer : peers) {
        const std::uint64_t hash = StableHash().add(peer.instance.text()).value();
        allMilliCores += sizeOf(peer);
        owners_.push_back({std::move(peer), hash});
    }
    // Of equal ones those with the lowest hashes, so that an instance that joins or leaves changes
    // one owner.
    std::sort(owners_.begin(), owners_.end(), [](const Ranked &one, const Ranked &other) {
        const std::uint64_t size = sizeOf(one.peer);
        const std::uint64_t otherSize = sizeOf(other.peer);
        return size != otherSize ? size > otherSize : one.hash < other.hash;
    });
    owners_.resize(countOwners(allMilliCores, leastOwners));
    const auto isSame = [](const Ranked &one, const Ranked &other) {
        return one.hash == other.hash && one.peer.address == other.peer.address;
    };
    return !std::equal(before.begin(), before.end(), owners_.begin(), owners_.end(), isSame);
}

std::size_t OwnerRanking::countOwners(std::uint64_t allMilliCores, std::size_t leastOwners) const
{
    std::size_t count = 0;
    std::uint64_t milliCores = 0;
    for (const Ranked &candidate : owners_) {
        milliCores += sizeOf(candidate.peer);
        if (count >= leastOwners && milliCores * processorsPerOwner > allMilliCores)
            break;
        ++count;
    }
    return count;
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

std::vector<PeerAddress> OwnerRanking::spreadOwnersOf(OwnershipKey key, std::size_t maxCount) const
{
    struct Scored
    {
        const OwnerCandidate *peer;
        std::uint64_t score;
        std::size_t rankInDomain;
    };
    std::vector<Scored> scored;
    scored.reserve(owners_.size());
    for (const Ranked &owner : owners_)
        scored.push_back({&owner.peer, StableHash().add(owner.hash).add(key).value(), 0});
    std::sort(scored.begin(), scored.end(),
              [](const Scored &one, const Scored &other) { return one.score > other.score; });
    std::unordered_map<std::string, std::size_t> seen;
    for (Scored &each : scored)
        each.rankInDomain = seen[each.peer->failureDomain]++;
    std::stable_sort(scored.begin(), scored.end(), [](const Scored &one, const Scored &other) {
        return one.rankInDomain < other.rankInDomain;
    });
    std::vector<PeerAddress> spread;
    for (std::size_t i = 0; i < std::min(maxCount, scored.size()); ++i)
        spread.push_back(scored[i].peer->address);
    return spread;
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

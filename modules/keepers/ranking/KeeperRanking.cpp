#include "keepers/ranking/KeeperRanking.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

bool KeeperRanking::setPeers(std::vector<KeeperCandidate> peers)
{
    const std::vector<Ranked> before = std::exchange(peers_, {});
    for (KeeperCandidate &peer : peers) {
        const std::uint64_t hash = StableHash().add(peer.instance.text()).value();
        peers_.push_back({std::move(peer), hash});
    }
    // Those with the lowest hashes, so that an instance that comes or goes changes one keeper.
    std::sort(peers_.begin(), peers_.end(),
              [](const Ranked &one, const Ranked &other) { return one.hash < other.hash; });
    const std::size_t keepers = std::max(leastKeepers, peers_.size() / instancesEach);
    peers_.resize(std::min(peers_.size(), keepers));
    const auto isSame = [](const Ranked &one, const Ranked &other) {
        return one.hash == other.hash && one.peer.address == other.peer.address;
    };
    return !std::equal(before.begin(), before.end(), peers_.begin(), peers_.end(), isSame);
}

std::vector<PeerAddress> KeeperRanking::addresses() const
{
    std::vector<PeerAddress> addresses;
    for (const Ranked &keeper : peers_) {
        if (keeper.peer.address != self_)
            addresses.push_back(keeper.peer.address);
    }
    return addresses;
}

bool KeeperRanking::isKeeper() const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [this](const Ranked &each) { return each.peer.address == self_; });
}

bool KeeperRanking::isPassedOver(const PeerAddress &peer, Millis now) const
{
    const auto found = silence_.find(peer);
    return found != silence_.end() && now < found->second.passedOverUntil;
}

template<typename IsLeftOut>
const PeerAddress &KeeperRanking::firstFor(KeeperKey key, IsLeftOut isLeftOut) const
{
    const Ranked *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Ranked &candidate : peers_) {
        const std::uint64_t score = StableHash().add(candidate.hash).add(key).value();
        if ((best != nullptr && score <= bestScore) || isLeftOut(candidate.peer.address))
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best == nullptr ? self_ : best->peer.address;
}

const PeerAddress &KeeperRanking::firstOf(KeeperKey key) const
{
    return firstFor(key, [](const PeerAddress &) { return false; });
}

std::vector<PeerAddress> KeeperRanking::firstFew(KeeperKey key, std::size_t most) const
{
    std::vector<PeerAddress> few;
    while (few.size() < std::min(most, peers_.size())) {
        few.push_back(firstFor(key, [&few](const PeerAddress &peer) {
            return std::find(few.begin(), few.end(), peer) != few.end();
        }));
    }
    return few;
}

const PeerAddress &KeeperRanking::keeperOf(KeeperKey key, Millis now) const
{
    return firstFor(key, [&](const PeerAddress &peer) { return isPassedOver(peer, now); });
}

const PeerAddress &KeeperRanking::keeperBeside(const PeerAddress &silent, KeeperKey key,
                                               Millis now) const
{
    return firstFor(
        key, [&](const PeerAddress &peer) { return peer == silent || isPassedOver(peer, now); });
}

void KeeperRanking::leftUnanswered(const PeerAddress &peer, Millis now)
{
    Silence &silence = silence_[peer];
    if (++silence.count < silenceBorne)
        return;
    silence.passedOverUntil = now + passedOverFor;
    // One more silence after that time is enough to pass it over again.
    silence.count = silenceBorne - 1;
}

} // namespace cuminrail

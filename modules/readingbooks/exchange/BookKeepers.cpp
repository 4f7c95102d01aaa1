#include "readingbooks/exchange/BookKeepers.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

bool BookKeepers::setPeers(std::vector<BookPeer> peers)
{
    const std::vector<Ranked> before = std::exchange(peers_, {});
    for (BookPeer &peer : peers) {
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

std::vector<PeerAddress> BookKeepers::addresses() const
{
    std::vector<PeerAddress> addresses;
    for (const Ranked &keeper : peers_) {
        if (keeper.peer.address != self_)
            addresses.push_back(keeper.peer.address);
    }
    return addresses;
}

bool BookKeepers::isPassedOver(const PeerAddress &peer, Millis now) const
{
    const auto found = silence_.find(peer);
    return found != silence_.end() && now < found->second.passedOverUntil;
}

template<typename IsLeftOut>
const BookKeepers::Ranked *BookKeepers::firstFor(EngineKey engine, IsLeftOut isLeftOut) const
{
    const Ranked *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Ranked &candidate : peers_) {
        const std::uint64_t score = StableHash().add(candidate.hash).add(engine).value();
        if ((best != nullptr && score <= bestScore) || isLeftOut(candidate))
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best;
}

bool BookKeepers::isOwnBook(EngineKey engine) const
{
    const Ranked *first = firstFor(engine, [](const Ranked &) { return false; });
    return first == nullptr || first->peer.address == self_;
}

const PeerAddress &BookKeepers::keeperOf(EngineKey engine, Millis now) const
{
    const Ranked *first = firstFor(engine, [this, now](const Ranked &candidate) {
        return isPassedOver(candidate.peer.address, now);
    });
    return first == nullptr ? self_ : first->peer.address;
}

void BookKeepers::leftUnanswered(const PeerAddress &peer, Millis now)
{
    Silence &silence = silence_[peer];
    if (++silence.count < silenceBorne)
        return;
    silence.passedOverUntil = now + passedOverFor;
    // One more silence after that time is enough to pass it over again.
    silence.count = silenceBorne - 1;
}

} // namespace cuminrail

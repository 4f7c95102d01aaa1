#include "feeds/follower/FeedGroup.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cuminrail {

namespace {

/** Bounds who waits for a state; the others ask again. */
constexpr std::size_t maxWaiting = 64;
/** Rank of an instance that is not in the list of members. */
constexpr std::size_t unknownRank = std::numeric_limits<std::size_t>::max();

} // namespace

FeedGroup::FeedGroup(Clock clock, PeerTransport transport, FeedFollower &configuration,
                     FeedFollower &upstreams)
    : clock_(std::move(clock)), transport_(std::move(transport)), feeds_{&configuration, &upstreams}
{ }

void FeedGroup::setStandalone()
{
    watchers_.clear();
    others_.clear();
    ranks_.clear();
    for (FeedFollower *follower : feeds_)
        follower->setPosition(WatchPosition());
}

void FeedGroup::setMembers(std::vector<PeerAddress> inOrder, std::size_t watchers)
{
    WatchPosition position;
    position.isShared = true;
    position.members = inOrder.size();
    position.watchers = watchers;
    for (StateExchange &state : states_)
        state.fetch.setSources(inOrder, watchers);
    watchers_.clear();
    others_.clear();
    ranks_.clear();
    for (std::size_t rank = 0; rank < inOrder.size(); ++rank) {
        if (inOrder[rank].empty()) {
            position.rank = rank;
            continue;
        }
        ranks_[inOrder[rank]] = rank;
        if (rank < watchers)
            watchers_.push_back(inOrder[rank]);
        others_.push_back(std::move(inOrder[rank]));
    }
    for (FeedFollower *follower : feeds_)
        follower->setPosition(position);
}

bool FeedGroup::shouldSendHeartbeat() const
{
    const Millis now = clock_.now();
    const auto isSilent = [now](const FeedFollower *follower) {
        const WatchCoordinator &coordinator = follower->coordinator();
        if (!coordinator.watchesForOthers() || coordinator.isStandby(now))
            return true;
        // The store refuses this instance; an instance that it serves announces in its place.
        return coordinator.isConfirmed(now)
            && follower->feedStatus().age >= coordinator.timing().confirmationValidity;
    };
    return !others_.empty() && !std::all_of(feeds_.begin(), feeds_.end(), isSilent);
}

bool FeedGroup::lacksWatchers() const
{
    const Millis now = clock_.now();
    return std::any_of(feeds_.begin(), feeds_.end(), [now](const FeedFollower *follower) {
        const WatchCoordinator &coordinator = follower->coordinator();
        return coordinator.position().isShared && !coordinator.position().isWatcher()
            && !coordinator.isConfirmed(now);
    });
}

std::string FeedGroup::heartbeat() const
{
    FeedHeartbeat heartbeat;
    for (const FeedFollower *follower : feeds_)
        heartbeat.feeds[static_cast<std::size_t>(follower->kind())] = follower->feedStatus();
    return encodeFeedHeartbeat(heartbeat);
}

void FeedGroup::tick()
{
    const Millis now = clock_.now();
    queryMissing(now);
    exchangeStates(now);
    if (now < nextHeartbeat_ && !hasUnannouncedRefusal())
        return;
    const WatchTiming &timing = feeds_.front()->coordinator().timing();
    if (shouldSendHeartbeat() || hasUnannouncedRefusal()) {
        nextHeartbeat_ = now + timing.heartbeatInterval;
        for (const FeedFollower *follower : feeds_)
            announcedRefused_[static_cast<std::size_t>(follower->kind())] =
                follower->feedStatus().isRefused;
        broadcast(heartbeat());
    } else if (lacksWatchers()) {
        nextHeartbeat_ = now + timing.heartbeatInterval;
        for (const PeerAddress &watcher : watchers_)
            transport_.send(watcher, heartbeat());
    }
}

void FeedGroup::distribute(const FeedUpdate &update) const
{
    // If the update is too large, the others notice the gap by the next heartbeat and read it from
    // the store.
    if (const auto encoded = encodeFeedUpdate(update))
        deliver(*encoded, others_);
}

void FeedGroup::deliver(const std::string &update, const std::vector<PeerAddress> &receivers) const
{
    std::vector<PeerAddress> inOrder = receivers;
    if (isLinked)
        std::stable_partition(inOrder.begin(), inOrder.end(), isLinked);
    const std::size_t direct = std::min(fanOut, inOrder.size());
    std::vector<FeedDelivery> deliveries(direct, FeedDelivery{update, {}});
    for (std::size_t i = direct; i < inOrder.size(); ++i)
        deliveries[i % direct].forwardTo.push_back(inOrder[i]);
    for (std::size_t i = 0; i < direct; ++i)
        transport_.send(inOrder[i], encodeFeedDelivery(deliveries[i]));
}

bool FeedGroup::hasUnannouncedRefusal() const
{
    return std::any_of(feeds_.begin(), feeds_.end(), [this](const FeedFollower *follower) {
        const bool announced = announcedRefused_[static_cast<std::size_t>(follower->kind())];
        return follower->coordinator().position().isWatcher()
            && follower->coordinator().position().isShared
            && follower->feedStatus().isRefused != announced;
    });
}

void FeedGroup::queryMissing(Millis now)
{
    for (const FeedFollower *follower : feeds_) {
        Missing &missing = missing_[static_cast<std::size_t>(follower->kind())];
        if (missing.source.empty() || follower->behindDuration() < queryDelay
            || now - missing.querySentAt < FeedFollower::gapTimeout / 2)
            continue;
        missing.querySentAt = now;
        transport_.send(missing.source, encodeFeedQuery({follower->kind(), follower->seen()}));
    }
}

bool FeedGroup::handleFrame(const PeerAddress &from, const std::string &frame)
{
    if (const auto delivery = decodeFeedDelivery(frame)) {
        handleDelivery(*delivery);
        return true;
    }
    if (const auto heartbeat = decodeFeedHeartbeat(frame)) {
        handleHeartbeat(from, *heartbeat);
        return true;
    }
    if (const auto query = decodeFeedQuery(frame)) {
        replyTo(from, *query);
        return true;
    }
    if (const auto piece = decodeFeedPiece(frame)) {
        handlePiece(from, *piece);
        return true;
    }
    if (const auto query = decodeFeedPieceQuery(frame)) {
        replyTo(from, *query);
        return true;
    }
    return false;
}

void FeedGroup::handleDelivery(const FeedDelivery &delivery)
{
    const auto update = decodeFeedUpdate(delivery.update);
    if (!update)
        return;
    if (!delivery.forwardTo.empty())
        deliver(delivery.update, delivery.forwardTo);
    feed(update->kind).handleUpdate(*update);
}

void FeedGroup::handleHeartbeat(const PeerAddress &from, const FeedHeartbeat &heartbeat)
{
    const auto [known, isNew] = ranks_.try_emplace(from, unknownRank);
    // The instance started after the list of members was read here. Without heartbeats it would
    // take the silence for the loss of all watchers, and watch on behalf of the whole domain until
    // the next reading.
    if (isNew)
        others_.push_back(from);
    const std::size_t rank = known->second;
    for (FeedFollower *follower : feeds_) {
        follower->handleStatus(heartbeat.feeds[static_cast<std::size_t>(follower->kind())], rank);
        if (follower->isBehind())
            missing_[static_cast<std::size_t>(follower->kind())].source = from;
    }
}

void FeedGroup::replyTo(const PeerAddress &from, const FeedQuery &query)
{
    const auto update = feed(query.kind).changesSince(query.seen);
    // Without a reply the other instance reads the missing changes from the store.
    if (!update)
        return;
    if (const auto encoded = encodeFeedUpdate(*update))
        transport_.send(from, encodeFeedDelivery({*encoded, {}}));
    else
        replyTo(from, FeedPieceQuery{query.kind, 0, 0});
}

void FeedGroup::replyTo(const PeerAddress &from, const FeedPieceQuery &query)
{
    StateExchange &state = stateOf(query.kind);
    if (const auto piece = state.snapshot.piece(feed(query.kind), query, clock_.now()))
        transport_.send(from, encodeFeedPiece(*piece));
    else if (query.number == 0 && state.waiting.size() < maxWaiting)
        state.waiting.insert(from);
}

void FeedGroup::sendQuery(const PeerAddress &to, const FeedPieceQuery &query) const
{
    transport_.send(to, encodeFeedPieceQuery(query));
}

void FeedGroup::handlePiece(const PeerAddress &from, const FeedPiece &piece)
{
    FeedFollower &follower = feed(piece.kind);
    if (!follower.wantsWholeState() && !follower.isBehind())
        return;
    const auto send = [this](const PeerAddress &to, const FeedPieceQuery &query) {
        sendQuery(to, query);
    };
    const auto whole = stateOf(piece.kind).fetch.handlePiece(from, piece, clock_.now(), send);
    if (!whole)
        return;
    follower.handleUpdate(*whole);
    exchangeStates(clock_.now());
}

void FeedGroup::exchangeStates(Millis now)
{
    const auto send = [this](const PeerAddress &to, const FeedPieceQuery &query) {
        sendQuery(to, query);
    };
    for (const FeedFollower *follower : feeds_) {
        StateExchange &state = stateOf(follower->kind());
        if (follower->wantsWholeState())
            state.fetch.tick(follower->kind(), now, send);
        if (!follower->isListed())
            continue;
        for (const PeerAddress &waiting : std::exchange(state.waiting, {}))
            replyTo(waiting, FeedPieceQuery{follower->kind(), 0, 0});
    }
}

void FeedGroup::broadcast(const std::string &frame) const
{
    for (const PeerAddress &other : others_)
        transport_.send(other, frame);
}

} // namespace cuminrail

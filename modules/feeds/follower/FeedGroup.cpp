#include "feeds/follower/FeedGroup.h"

#include <algorithm>
#include <limits>

namespace cuminrail {

namespace {

/** Of an instance whose place is not known. */
constexpr std::size_t lastRank = std::numeric_limits<std::size_t>::max();

} // namespace

FeedGroup::FeedGroup(Clock clock, PeerTransport transport, FeedFollower &configuration,
                     FeedFollower &upstreams)
    : clock_(std::move(clock)), transport_(std::move(transport)), feeds_{&configuration, &upstreams}
{ }

void FeedGroup::setAlone()
{
    watchers_.clear();
    others_.clear();
    ranks_.clear();
    for (FeedFollower *follower : feeds_)
        follower->setPlace(WatchPlace());
}

void FeedGroup::setMembers(std::vector<PeerAddress> inOrder, std::size_t watchers)
{
    WatchPlace place;
    place.isShared = true;
    place.members = inOrder.size();
    place.watchers = watchers;
    watchers_.clear();
    others_.clear();
    ranks_.clear();
    for (std::size_t rank = 0; rank < inOrder.size(); ++rank) {
        if (inOrder[rank].empty()) {
            place.rank = rank;
            continue;
        }
        ranks_[inOrder[rank]] = rank;
        if (rank < watchers)
            watchers_.push_back(inOrder[rank]);
        others_.push_back(std::move(inOrder[rank]));
    }
    for (FeedFollower *follower : feeds_)
        follower->setPlace(place);
}

bool FeedGroup::maySpeak() const
{
    const Millis now = clock_.now();
    const auto isSilent = [now](const FeedFollower *follower) {
        const WatchTurn &turn = follower->turn();
        if (!turn.watchesForOthers() || turn.isStandby(now))
            return true;
        // The store turns this instance away; one that it serves speaks in its place.
        return turn.isConfirmed(now) && follower->standing().age >= turn.timing().confirmationHolds;
    };
    return !others_.empty() && !std::all_of(feeds_.begin(), feeds_.end(), isSilent);
}

bool FeedGroup::needsWatchers() const
{
    const Millis now = clock_.now();
    return std::any_of(feeds_.begin(), feeds_.end(), [now](const FeedFollower *follower) {
        const WatchTurn &turn = follower->turn();
        return turn.place().isShared && !turn.place().isWatcher() && !turn.isConfirmed(now);
    });
}

std::string FeedGroup::heartbeat() const
{
    FeedHeartbeat heartbeat;
    for (const FeedFollower *follower : feeds_)
        heartbeat.feeds[static_cast<std::size_t>(follower->kind())] = follower->standing();
    return encodeFeedHeartbeat(heartbeat);
}

void FeedGroup::tick()
{
    const Millis now = clock_.now();
    askForMissing(now);
    if (now < nextHeartbeat_ && !isRefusalNew())
        return;
    const WatchTiming &timing = feeds_.front()->turn().timing();
    if (maySpeak() || isRefusalNew()) {
        nextHeartbeat_ = now + timing.heartbeatEvery;
        for (const FeedFollower *follower : feeds_)
            toldRefused_[static_cast<std::size_t>(follower->kind())] =
                follower->standing().isRefused;
        send(heartbeat());
    } else if (needsWatchers()) {
        nextHeartbeat_ = now + timing.heartbeatEvery;
        for (const PeerAddress &watcher : watchers_)
            transport_.send(watcher, heartbeat());
    }
}

void FeedGroup::passOn(const FeedUpdate &update) const
{
    // Not told, the others see by the next heartbeat that they lack something, and read it.
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
        deliveries[i % direct].passOnTo.push_back(inOrder[i]);
    for (std::size_t i = 0; i < direct; ++i)
        transport_.send(inOrder[i], encodeFeedDelivery(deliveries[i]));
}

bool FeedGroup::isRefusalNew() const
{
    return std::any_of(feeds_.begin(), feeds_.end(), [this](const FeedFollower *follower) {
        const bool wasTold = toldRefused_[static_cast<std::size_t>(follower->kind())];
        return follower->turn().place().isWatcher() && follower->turn().place().isShared
            && follower->standing().isRefused != wasTold;
    });
}

void FeedGroup::askForMissing(Millis now)
{
    for (const FeedFollower *follower : feeds_) {
        Missing &missing = missing_[static_cast<std::size_t>(follower->kind())];
        if (missing.informant.empty() || follower->behindFor() < askAfter
            || now - missing.askedAt < FeedFollower::gapPatience / 2)
            continue;
        missing.askedAt = now;
        transport_.send(missing.informant,
                        encodeFeedQuestion({follower->kind(), follower->seen()}));
    }
}

bool FeedGroup::received(const PeerAddress &from, const std::string &frame)
{
    if (const auto delivery = decodeFeedDelivery(frame)) {
        takeDelivery(*delivery);
        return true;
    }
    if (const auto heartbeat = decodeFeedHeartbeat(frame)) {
        takeHeartbeat(from, *heartbeat);
        return true;
    }
    if (const auto question = decodeFeedQuestion(frame)) {
        answer(from, *question);
        return true;
    }
    return false;
}

void FeedGroup::takeDelivery(const FeedDelivery &delivery)
{
    const auto update = decodeFeedUpdate(delivery.update);
    if (!update)
        return;
    if (!delivery.passOnTo.empty())
        deliver(delivery.update, delivery.passOnTo);
    feed(update->kind).takeUpdate(*update);
}

void FeedGroup::takeHeartbeat(const PeerAddress &from, const FeedHeartbeat &heartbeat)
{
    const auto [known, isNew] = ranks_.try_emplace(from, lastRank);
    // It started after the members were read here. Not told anything, it would take the silence for
    // the loss of all watchers, and watch for the whole domain until the next reading.
    if (isNew)
        others_.push_back(from);
    const std::size_t rank = known->second;
    for (FeedFollower *follower : feeds_) {
        follower->takeStanding(heartbeat.feeds[static_cast<std::size_t>(follower->kind())], rank);
        if (follower->isBehind())
            missing_[static_cast<std::size_t>(follower->kind())].informant = from;
    }
}

void FeedGroup::answer(const PeerAddress &from, const FeedQuestion &question) const
{
    const auto update = feed(question.kind).changesSince(question.seen);
    // Not answered, the other instance reads from the store what it lacks.
    const auto encoded = update ? encodeFeedUpdate(*update) : std::nullopt;
    if (encoded)
        transport_.send(from, encodeFeedDelivery({*encoded, {}}));
}

void FeedGroup::send(const std::string &frame) const
{
    for (const PeerAddress &other : others_)
        transport_.send(other, frame);
}

} // namespace cuminrail

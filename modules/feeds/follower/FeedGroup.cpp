#include "feeds/follower/FeedGroup.h"

#include <algorithm>
#include <limits>

namespace cuminrail {

FeedGroup::FeedGroup(Clock clock, PeerTransport transport, FeedFollower &configuration,
                     FeedFollower &upstreams)
    : clock_(std::move(clock)), transport_(std::move(transport)), feeds_{&configuration, &upstreams}
{ }

void FeedGroup::setAlone()
{
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
    others_.clear();
    ranks_.clear();
    for (std::size_t rank = 0; rank < inOrder.size(); ++rank) {
        if (inOrder[rank].empty()) {
            place.rank = rank;
            continue;
        }
        ranks_[inOrder[rank]] = rank;
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

void FeedGroup::tick()
{
    const Millis now = clock_.now();
    if (now < nextHeartbeat_ || !maySpeak())
        return;
    nextHeartbeat_ = now + feeds_.front()->turn().timing().heartbeatEvery;
    FeedHeartbeat heartbeat;
    for (const FeedFollower *follower : feeds_)
        heartbeat.feeds[static_cast<std::size_t>(follower->kind())] = follower->standing();
    send(encodeFeedHeartbeat(heartbeat));
}

void FeedGroup::passOn(const FeedUpdate &update) const
{
    // Not told, the others see by the next heartbeat that they lack something, and read it.
    if (const auto frame = encodeFeedUpdate(update))
        send(*frame);
}

bool FeedGroup::received(const PeerAddress &from, const std::string &frame)
{
    if (const auto update = decodeFeedUpdate(frame)) {
        feed(update->kind).takeUpdate(*update);
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

void FeedGroup::takeHeartbeat(const PeerAddress &from, const FeedHeartbeat &heartbeat)
{
    const auto known = ranks_.find(from);
    const std::size_t rank =
        known == ranks_.end() ? std::numeric_limits<std::size_t>::max() : known->second;
    for (FeedFollower *follower : feeds_) {
        follower->takeStanding(heartbeat.feeds[static_cast<std::size_t>(follower->kind())], rank);
        if (follower->isBehind())
            transport_.send(from, encodeFeedQuestion({follower->kind(), follower->seen()}));
    }
}

void FeedGroup::answer(const PeerAddress &from, const FeedQuestion &question) const
{
    const auto update = feed(question.kind).changesSince(question.seen);
    // Not answered, the other instance reads from the store what it lacks.
    const auto frame = update ? encodeFeedUpdate(*update) : std::nullopt;
    if (frame)
        transport_.send(from, *frame);
}

void FeedGroup::send(const std::string &frame) const
{
    for (const PeerAddress &other : others_)
        transport_.send(other, frame);
}

} // namespace cuminrail

#include "feeds/follower/WatchCoordinator.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** A watcher counts as gone after so many missed heartbeat intervals. */
constexpr int maxMissedHeartbeats = 3;

} // namespace

WatchTiming WatchTiming::forMaxDelay(Millis maxDelay)
{
    // Half of the permitted delay is for the age of the watchers' data, the rest for an attempt and
    // a call.
    WatchTiming timing;
    timing.confirmationValidity = std::max(Millis(400), maxDelay / 2);
    timing.primaryWait = timing.confirmationValidity * 3 / 5;
    timing.standbyWait = timing.primaryWait * 4;
    timing.heartbeatInterval = timing.confirmationValidity / 4;
    return timing;
}

void WatchCoordinator::setPosition(const WatchPosition &position, Millis now)
{
    if (position.isShared != position_.isShared)
        startedAt_ = now;
    isSubstitute_ = isSubstitute_ && position.isShared;
    position_ = position;
}

void WatchCoordinator::recordConfirmation(Millis at, std::size_t byRank, Millis now)
{
    // Of two substitutes only the one of the higher rank stops. If each stopped on a message from
    // the other, no instance would receive updates until the next attempts.
    if (byRank < position_.rank) {
        isSubstitute_ = false;
        lowerRankReceivedAt_ = now;
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
}

void WatchCoordinator::recordServed(std::size_t rank, Millis now)
{
    refusals_.erase(rank);
    if (rank >= position_.watchers)
        substituteReceivedAt_ = now;
}

void WatchCoordinator::recordRefusal(std::size_t rank, Millis now)
{
    if (rank >= position_.watchers)
        return;
    const auto [refusal, isNew] = refusals_.try_emplace(rank, Refusal{now, now});
    refusal->second.lastReceivedAt = now;
    if (isNew && rank < position_.rank)
        lowerRankReceivedAt_.reset();
}

std::optional<Millis> WatchCoordinator::allRefusedSince(Millis now) const
{
    if (refusals_.size() < position_.watchers || !guardEnabled(Guard::FeedRefusalTold))
        return std::nullopt;
    Millis since;
    for (const auto &[rank, refusal] : refusals_) {
        if (now - refusal.lastReceivedAt >= timing_.heartbeatInterval * maxMissedHeartbeats)
            return std::nullopt;
        since = std::max(since, refusal.since);
    }
    // A substitute that is already active sends another message within this time.
    if (substituteReceivedAt_)
        since = std::max(since,
                         *substituteReceivedAt_ + timing_.heartbeatInterval * maxMissedHeartbeats);
    return since;
}

void WatchCoordinator::recordSuccess()
{
    isSubstitute_ = position_.isShared && !position_.isWatcher();
}

void WatchCoordinator::recordFailure(Millis now)
{
    isSubstitute_ = false;
    const auto members = static_cast<std::int64_t>(position_.members);
    nextAttemptAt_ =
        now + (hasRecentMessages(now) ? outageStagger * members : silenceRetryInterval);
}

bool WatchCoordinator::mayWatch(Millis now) const
{
    if (!position_.isShared || position_.isWatcher() || isSubstitute_)
        return true;
    if (now < nextAttemptAt_)
        return false;
    const auto attempt = static_cast<std::int64_t>(position_.rank - position_.watchers + 1);
    const auto refusedSince = allRefusedSince(now);
    if (refusedSince && now >= *refusedSince + outageStagger * attempt)
        return true;
    const Millis wait = hasRecentMessages(now)
        ? outageStagger * attempt
        : std::min(silenceStagger * attempt, maxSilenceStagger);
    return now - std::max(confirmedAt_.value_or(startedAt_), startedAt_)
        >= timing_.confirmationValidity + wait;
}

bool WatchCoordinator::isConfirmed(Millis now) const
{
    return position_.isShared && confirmedAt_ && now - *confirmedAt_ < timing_.confirmationValidity;
}

bool WatchCoordinator::isStandby(Millis now) const
{
    return position_.isShared && lowerRankReceivedAt_
        && now - *lowerRankReceivedAt_ < timing_.heartbeatInterval * maxMissedHeartbeats
        && isConfirmed(now);
}

bool WatchCoordinator::hasRecentMessages(Millis now) const
{
    return lastMessageReceivedAt_
        && now - *lastMessageReceivedAt_ < timing_.heartbeatInterval * maxMissedHeartbeats;
}

} // namespace cuminrail

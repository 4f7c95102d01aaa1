#include "feeds/follower/WatchTurn.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** A speaker whose heartbeats are missing for so many intervals is taken for gone. */
constexpr int heartbeatsMissed = 3;

} // namespace

WatchTiming WatchTiming::forAllowance(Millis allowance)
{
    // Half of the allowance for what the watchers know, the rest for a turn and a call.
    WatchTiming timing;
    timing.confirmationHolds = std::max(Millis(400), allowance / 2);
    timing.speakerWait = timing.confirmationHolds * 3 / 5;
    timing.standbyWait = timing.speakerWait * 4;
    timing.heartbeatEvery = timing.confirmationHolds / 4;
    return timing;
}

void WatchTurn::setPlace(const WatchPlace &place, Millis now)
{
    if (place.isShared != place_.isShared)
        since_ = now;
    isActing_ = isActing_ && place.isShared;
    place_ = place;
}

void WatchTurn::confirmed(Millis at, std::size_t byRank, Millis now)
{
    // Of two that act for the watchers only the one of the higher rank stops; if each stopped at
    // the other's word, all would be without news until the next turns.
    if (byRank < place_.rank) {
        isActing_ = false;
        lowerHeardAt_ = now;
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
}

void WatchTurn::served(std::size_t rank, Millis now)
{
    refusals_.erase(rank);
    if (rank >= place_.watchers)
        actorHeardAt_ = now;
}

void WatchTurn::refused(std::size_t rank, Millis now)
{
    if (rank >= place_.watchers)
        return;
    const auto [refusal, isNew] = refusals_.try_emplace(rank, Refusal{now, now});
    refusal->second.heardAt = now;
    if (isNew && rank < place_.rank)
        lowerHeardAt_.reset();
}

std::optional<Millis> WatchTurn::allRefusedSince(Millis now) const
{
    if (refusals_.size() < place_.watchers || !guardEnabled(Guard::FeedRefusalTold))
        return std::nullopt;
    Millis since;
    for (const auto &[rank, refusal] : refusals_) {
        if (now - refusal.heardAt >= timing_.heartbeatEvery * heartbeatsMissed)
            return std::nullopt;
        since = std::max(since, refusal.since);
    }
    // Whoever acts for the watchers already is heard again within this.
    if (actorHeardAt_)
        since = std::max(since, *actorHeardAt_ + timing_.heartbeatEvery * heartbeatsMissed);
    return since;
}

void WatchTurn::succeeded()
{
    isActing_ = place_.isShared && !place_.isWatcher();
}

void WatchTurn::failed(Millis now)
{
    isActing_ = false;
    const auto members = static_cast<std::int64_t>(place_.members);
    nextTurn_ = now + (othersTry(now) ? troubledStagger * members : silentRetry);
}

bool WatchTurn::mayWatch(Millis now) const
{
    if (!place_.isShared || place_.isWatcher() || isActing_)
        return true;
    if (now < nextTurn_)
        return false;
    const auto turn = static_cast<std::int64_t>(place_.rank - place_.watchers + 1);
    const auto refusedSince = allRefusedSince(now);
    if (refusedSince && now >= *refusedSince + troubledStagger * turn)
        return true;
    const Millis wait =
        othersTry(now) ? troubledStagger * turn : std::min(silentStagger * turn, silentStaggerMost);
    return now - std::max(confirmedAt_.value_or(since_), since_)
        >= timing_.confirmationHolds + wait;
}

bool WatchTurn::isConfirmed(Millis now) const
{
    return place_.isShared && confirmedAt_ && now - *confirmedAt_ < timing_.confirmationHolds;
}

bool WatchTurn::isStandby(Millis now) const
{
    return place_.isShared && lowerHeardAt_
        && now - *lowerHeardAt_ < timing_.heartbeatEvery * heartbeatsMissed && isConfirmed(now);
}

bool WatchTurn::othersTry(Millis now) const
{
    return heardAt_ && now - *heardAt_ < timing_.heartbeatEvery * heartbeatsMissed;
}

} // namespace cuminrail

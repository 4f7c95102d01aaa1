#include "feeds/follower/WatchTurn.h"

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

#include "feeds/follower/FeedSnapshot.h"

namespace cuminrail {

std::optional<FeedPiece> FeedSnapshot::piece(const FeedFollower &follower,
                                             const FeedPieceQuery &query, Millis now)
{
    const bool isNextPiece = !pieces_.empty() && query.to == to_;
    if (!isNextPiece && query.number == 0)
        encode(follower, now);
    const bool isKept = query.to == to_ || query.number == 0;
    if (!isKept || query.number >= pieces_.size())
        return std::nullopt;
    return FeedPiece{follower.kind(), to_, query.number, pieces_.size(), pieces_[query.number]};
}

void FeedSnapshot::encode(const FeedFollower &follower, Millis now)
{
    const bool isChanged = pieces_.empty() || follower.changedAt() != changedAt_;
    if (!follower.isListed() || !isChanged
        || (!pieces_.empty() && now - encodedAt_ < minEncodeInterval))
        return;
    const FeedUpdate whole = follower.wholeState();
    pieces_ = splitFeedUpdate(whole);
    to_ = whole.to;
    changedAt_ = follower.changedAt();
    encodedAt_ = now;
}

} // namespace cuminrail

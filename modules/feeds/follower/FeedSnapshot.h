#pragma once

#include "core/time/Millis.h"
#include "feeds/follower/FeedFollower.h"
#include "feeds/messages/FeedPieces.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The whole state of a feed in encoded pieces, kept for all instances that fetch it.

    Load: all instances of a group start at once. Encoding thousands of objects for each of them
    would take the sender longer than sending them.
*/
class FeedSnapshot
{
public:
    /** While the state changes, it is encoded anew no more often than this. */
    static constexpr Millis minEncodeInterval = Millis(500);

    /** Returns the requested piece; nothing if that state is no longer kept, or none is known. */
    std::optional<FeedPiece> piece(const FeedFollower &follower, const FeedPieceQuery &query,
                                   Millis now);

private:
    void encode(const FeedFollower &follower, Millis now);

    ObjectVersion to_ = 0;
    ObjectVersion changedAt_ = 0;
    std::vector<std::string> pieces_;
    Millis encodedAt_;
};

} // namespace cuminrail

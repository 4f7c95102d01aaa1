#pragma once

#include "core/time/Millis.h"
#include "feeds/messages/FeedPieces.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace cuminrail {

/**
    Fetches the whole state of a feed from other instances, piece by piece.

    Load: all instances of a group start at once, each with a link of a few megabits a second. They
    form a tree in the order of the watches: each has the state from the instance above it, so that
    nobody sends it to more than a few, and the store is read by the watchers only.
*/
class FeedFetch
{
public:
    /** Number of instances that fetch from the same one. */
    static constexpr std::size_t fanOut = 8;
    /** After this time without a piece the next source is tried. */
    static constexpr Millis pieceTimeout = Millis(600);

    using SendQuery = std::function<void(const PeerAddress &to, const FeedPieceQuery &query)>;

    /**
        @param inOrder  the group in the order of the watches, this instance with an empty address
        @param watchers  how many of them read the store
    */
    void setSources(const std::vector<PeerAddress> &inOrder, std::size_t watchers);
    /** Sends the next query when due; to be called while the state is wanted. */
    void tick(FeedKind kind, Millis now, const SendQuery &send);
    /**
        Handles a piece. Returns the whole state with the last one. The first piece is taken from
        whoever sends it.
    */
    std::optional<FeedUpdate> handlePiece(const PeerAddress &from, const FeedPiece &piece,
                                          Millis now, const SendQuery &send);
    /** Forgets the pieces received so far. */
    void reset();

    /** Returns the rank from which the instance of a rank fetches first. */
    static std::size_t sourceRank(std::size_t rank, std::size_t watchers);

private:
    bool isExpected(const PeerAddress &from, const FeedPiece &piece) const;

    std::vector<PeerAddress> sources_;
    std::size_t attempts_ = 0;
    PeerAddress source_;
    FeedUpdate received_;
    std::uint64_t nextPiece_ = 0;
    std::optional<Millis> progressAt_;
};

} // namespace cuminrail

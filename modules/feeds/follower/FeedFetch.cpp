#include "feeds/follower/FeedFetch.h"

#include <algorithm>
#include <iterator>

namespace cuminrail {

std::size_t FeedFetch::sourceRank(std::size_t rank, std::size_t watchers)
{
    const std::size_t below = rank - watchers;
    const std::size_t watchersTakers = watchers * fanOut;
    if (below < watchersTakers)
        return below % watchers;
    return watchers + (below - watchersTakers) / fanOut;
}

void FeedFetch::setSources(const std::vector<PeerAddress> &inOrder, std::size_t watchers)
{
    sources_.clear();
    const auto self = std::find(inOrder.begin(), inOrder.end(), PeerAddress());
    const auto rank = static_cast<std::size_t>(std::distance(inOrder.begin(), self));
    if (self == inOrder.end() || rank < watchers || watchers == 0)
        return;
    sources_.push_back(inOrder[sourceRank(rank, watchers)]);
    for (std::size_t i = 0; i < watchers; ++i)
        sources_.push_back(inOrder[i]);
}

void FeedFetch::tick(FeedKind kind, Millis now, const SendQuery &send)
{
    const bool isWaiting = progressAt_ && now - *progressAt_ < pieceTimeout;
    if (sources_.empty() || isWaiting)
        return;
    reset();
    progressAt_ = now;
    send(sources_[attempts_++ % sources_.size()], FeedPieceQuery{kind, 0, 0});
}

bool FeedFetch::isExpected(const PeerAddress &from, const FeedPiece &piece) const
{
    if (nextPiece_ == 0)
        return piece.number == 0;
    return from == source_ && piece.to == received_.to && piece.number == nextPiece_;
}

std::optional<FeedUpdate> FeedFetch::handlePiece(const PeerAddress &from, const FeedPiece &piece,
                                                 Millis now, const SendQuery &send)
{
    if (!isExpected(from, piece))
        return std::nullopt;
    auto update = decodeFeedUpdate(piece.update);
    if (!update || update->kind != piece.kind || update->to != piece.to)
        return std::nullopt;
    source_ = from;
    progressAt_ = now;
    if (piece.number == 0)
        received_ = FeedUpdate{piece.kind, update->from, piece.to, {}, true};
    std::move(update->objects.begin(), update->objects.end(),
              std::back_inserter(received_.objects));
    nextPiece_ = piece.number + 1;
    if (nextPiece_ < piece.count) {
        send(from, FeedPieceQuery{piece.kind, piece.to, nextPiece_});
        return std::nullopt;
    }
    FeedUpdate whole = std::move(received_);
    reset();
    return whole;
}

void FeedFetch::reset()
{
    received_ = FeedUpdate();
    source_.clear();
    nextPiece_ = 0;
    progressAt_.reset();
}

} // namespace cuminrail

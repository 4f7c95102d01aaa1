#pragma once

#include "feeds/messages/FeedMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Numbers the pieces of a state, and bounds what a receiver assembles. */
inline constexpr std::uint64_t maxFeedPieces = 256;

/** One of the pieces in which the whole state of a feed is sent, as it may exceed a frame. */
struct FeedPiece
{
    FeedKind kind = FeedKind::Configuration;
    /** The revision of the state; all its pieces have the same one. */
    ObjectVersion to = 0;
    std::uint64_t number = 0;
    std::uint64_t count = 1;
    /** An encoded update with some of the state's objects. */
    std::string update;
};

/** Requests a piece of another instance's state; that instance sends the next only on request. */
struct FeedPieceQuery
{
    FeedKind kind = FeedKind::Configuration;
    /** The revision of the state that is being received; 0 for the first piece of any. */
    ObjectVersion to = 0;
    std::uint64_t number = 0;
};

/**
    Splits a whole state into encoded updates that fit into a frame each. Returns nothing if one
    object alone does not, or if there would be too many.
*/
std::vector<std::string> splitFeedUpdate(const FeedUpdate &update);

std::string encodeFeedPiece(const FeedPiece &piece);
/** Returns nothing for any other frame. */
std::optional<FeedPiece> decodeFeedPiece(const std::string &frame);

std::string encodeFeedPieceQuery(const FeedPieceQuery &query);
/** Returns nothing for any other frame. */
std::optional<FeedPieceQuery> decodeFeedPieceQuery(const std::string &frame);

} // namespace cuminrail

#include "feeds/messages/FeedPieces.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

using nlohmann::json;

/** Tags differ from the first element of every other message between gateways. */
constexpr std::uint64_t pieceTag = 0x38;
constexpr std::uint64_t pieceQueryTag = 0x39;
/** Encoded starts of these frames: an array of six or four, a one-byte number. */
constexpr const char *pieceStart = "\x86\x18\x38";
constexpr const char *pieceQueryStart = "\x84\x18\x39";
constexpr std::size_t startBytes = 3;
/** Plain bytes of the objects of a piece, to begin with; compressed they take an eighth. */
constexpr std::size_t targetPieceBytes = 256 * 1024;

/** Appends the encoded pieces of a range of objects; halves a range that is too large. */
bool appendPieces(const FeedUpdate &update, std::size_t first, std::size_t last,
                  std::vector<std::string> &pieces)
{
    FeedUpdate part{update.kind, update.from, update.to, {}, true};
    const auto begin = update.objects.begin();
    part.objects.assign(begin + static_cast<std::ptrdiff_t>(first),
                        begin + static_cast<std::ptrdiff_t>(last));
    if (auto encoded = encodeFeedUpdate(part)) {
        pieces.push_back(std::move(*encoded));
        return pieces.size() <= maxFeedPieces;
    }
    if (last - first < 2)
        return false;
    const std::size_t middle = first + (last - first) / 2;
    return appendPieces(update, first, middle, pieces)
        && appendPieces(update, middle, last, pieces);
}

} // namespace

std::vector<std::string> splitFeedUpdate(const FeedUpdate &update)
{
    std::vector<std::string> pieces;
    std::size_t first = 0;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < update.objects.size(); ++i) {
        bytes += update.objects[i].path.size() + update.objects[i].value.size();
        if (bytes < targetPieceBytes)
            continue;
        if (!appendPieces(update, first, i + 1, pieces))
            return {};
        first = i + 1;
        bytes = 0;
    }
    const bool isRestMissing = first < update.objects.size() || pieces.empty();
    if (isRestMissing && !appendPieces(update, first, update.objects.size(), pieces))
        return {};
    return pieces;
}

std::string encodeFeedPiece(const FeedPiece &piece)
{
    const std::vector<std::uint8_t> update(piece.update.begin(), piece.update.end());
    return encodeCbor(json::array(
        {pieceTag, piece.kind, piece.to, piece.number, piece.count, json::binary(update)}));
}

std::optional<FeedPiece> decodeFeedPiece(const std::string &frame)
{
    if (frame.compare(0, startBytes, pieceStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(pieceTag);
    FeedPiece piece;
    piece.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    piece.to = elements.number();
    piece.number = elements.number(maxFeedPieces - 1);
    piece.count = elements.number(maxFeedPieces);
    piece.update = elements.bytes(FrameLimits::bytes);
    if (!elements.isFullyRead() || piece.number >= piece.count)
        return std::nullopt;
    return piece;
}

std::string encodeFeedPieceQuery(const FeedPieceQuery &query)
{
    return encodeCbor(json::array({pieceQueryTag, query.kind, query.to, query.number}));
}

std::optional<FeedPieceQuery> decodeFeedPieceQuery(const std::string &frame)
{
    if (frame.compare(0, startBytes, pieceQueryStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(pieceQueryTag);
    FeedPieceQuery query;
    query.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    query.to = elements.number();
    query.number = elements.number(maxFeedPieces - 1);
    return elements.isFullyRead() ? std::optional<FeedPieceQuery>(query) : std::nullopt;
}

} // namespace cuminrail

#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "feeds/messages/FeedPieces.h"
#include "membership/messages/CborArrayReader.h"

using namespace cuminrail;

namespace {

FeedUpdate stateOf(int upstreams)
{
    FeedUpdate update{FeedKind::Upstreams, 0, 9000, {}, true};
    const RandomHook random = seededRandom(1);
    for (int i = 0; i < upstreams; ++i) {
        update.objects.push_back({"upstreams/i-" + std::to_string(random()),
                                  R"({"service":"svc-3","address":"10.1.64.)" + std::to_string(i)
                                      + R"(:8207","zone":"a","state":"ready","slots":64,"born":)"
                                      + std::to_string(random() % 100000) + "}",
                                  static_cast<ObjectVersion>(i + 1), false});
    }
    return update;
}

} // namespace

// Guards against a list that no other instance can send, as it exceeds a frame or a table.
TEST_CASE("a state of any size is split into pieces that fit into frames")
{
    for (const int upstreams : {0, 1, 840, 3000, 6000}) {
        CAPTURE(upstreams);
        const FeedUpdate state = stateOf(upstreams);
        const auto pieces = splitFeedUpdate(state);
        REQUIRE_FALSE(pieces.empty());
        std::size_t objects = 0;
        for (std::uint64_t i = 0; i < pieces.size(); ++i) {
            const std::string frame =
                encodeFeedPiece({state.kind, state.to, i, pieces.size(), pieces[i]});
            CHECK(frame.size() <= FrameLimits::bytes);
            const auto piece = decodeFeedPiece(frame);
            REQUIRE(piece);
            CHECK(piece->number == i);
            CHECK(piece->count == pieces.size());
            const auto update = decodeFeedUpdate(piece->update);
            REQUIRE(update);
            CHECK(update->isWhole);
            CHECK(update->to == state.to);
            for (const StoreObject &object : update->objects)
                CHECK(object.value == state.objects[objects++].value);
        }
        CHECK(objects == state.objects.size());
    }
}

// Guards against a state that is sent without one of its objects.
TEST_CASE("a state with an object that fits into no frame is not split")
{
    FeedUpdate state = stateOf(3);
    const RandomHook random = seededRandom(2);
    while (state.objects[1].value.size() < 2 * FrameLimits::bytes)
        state.objects[1].value += static_cast<char>(random() % 256);
    CHECK(splitFeedUpdate(state).empty());
}

// Guards against damaged frames that are read out of bounds or taken for another message.
TEST_CASE("pieces and their queries are decoded only if they are whole and within bounds")
{
    const FeedPiece piece{FeedKind::Upstreams, 7, 1, 3, "update"};
    const std::string frame = encodeFeedPiece(piece);
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeFeedPiece(frame.substr(0, length)));
    CHECK_FALSE(decodeFeedPieceQuery(frame));
    CHECK_FALSE(decodeFeedPiece(encodeFeedPiece({FeedKind::Upstreams, 7, 3, 3, "update"})));
    CHECK_FALSE(
        decodeFeedPiece(encodeFeedPiece({FeedKind::Upstreams, 7, 0, maxFeedPieces + 1, "update"})));

    const auto query = decodeFeedPieceQuery(encodeFeedPieceQuery({FeedKind::Upstreams, 7, 2}));
    REQUIRE(query);
    CHECK(query->kind == FeedKind::Upstreams);
    CHECK(query->to == 7);
    CHECK(query->number == 2);
    CHECK_FALSE(
        decodeFeedPieceQuery(encodeFeedPieceQuery({FeedKind::Upstreams, 7, maxFeedPieces})));
}

#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "feeds/messages/FeedMessages.h"
#include "membership/messages/CborArrayReader.h"

using namespace cuminrail;

namespace {

FeedUpdate someUpdate()
{
    return {FeedKind::Upstreams,
            17,
            23,
            {{"upstreams/i-1", R"({"state":"ready","zone":"Süd"})", 20, false},
             {"upstreams/i-2", "", 22, true}},
            false};
}

} // namespace

// Guards against a field that is lost or exchanged on the wire, or an update that another decoder
// accepts.
TEST_CASE("an update survives encoding and decoding")
{
    const auto frame = encodeFeedUpdate(someUpdate());
    REQUIRE(frame);
    const auto decoded = decodeFeedUpdate(*frame);
    REQUIRE(decoded);
    CHECK(decoded->kind == FeedKind::Upstreams);
    CHECK(decoded->from == 17);
    CHECK(decoded->to == 23);
    REQUIRE(decoded->objects.size() == 2);
    CHECK(decoded->objects[0].path == "upstreams/i-1");
    CHECK(decoded->objects[0].value == someUpdate().objects[0].value);
    CHECK(decoded->objects[0].version == 20);
    CHECK(decoded->objects[1].removed);
    CHECK_FALSE(decoded->isWhole);
    CHECK_FALSE(decodeFeedHeartbeat(*frame));
}

// Guards against a whole state of 840 upstreams that exceeds the size of a frame, which it would
// without compression.
TEST_CASE("a list of many upstreams fits into a frame and survives decoding")
{
    FeedUpdate update = someUpdate();
    update.isWhole = true;
    update.objects.clear();
    for (int i = 0; i < 840; ++i) {
        const std::string id = "i-" + std::to_string(i * 7919);
        update.objects.push_back({"upstreams/" + id,
                                  R"({"service":"svc-3","address":"10.1.64.)" + std::to_string(i)
                                      + R"(:8207","zone":"a","state":"ready","slots":64,"seq":)"
                                      + std::to_string(i % 3) + "}",
                                  std::uint64_t(1000 + i), false});
    }
    const auto encoded = encodeFeedUpdate(update);
    REQUIRE(encoded);
    const auto decoded = decodeFeedUpdate(*encoded);
    REQUIRE(decoded);
    CHECK(decoded->objects.size() == 840);
    CHECK(decoded->objects.back().value == update.objects.back().value);
}

// Guards against a relay that forwards to fewer receivers, as after a truncated frame.
TEST_CASE("a delivery keeps its receivers, and truncated ones are rejected")
{
    const FeedDelivery sent{*encodeFeedUpdate(someUpdate()), {"10.0.0.7:7100", "10.0.0.8:7100"}};
    const std::string frame = encodeFeedDelivery(sent);
    const auto decoded = decodeFeedDelivery(frame);
    REQUIRE(decoded);
    CHECK(decoded->update == sent.update);
    CHECK(decoded->forwardTo == sent.forwardTo);
    CHECK_FALSE(decodeFeedHeartbeat(frame));
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeFeedDelivery(frame.substr(0, length)));
}

// The configuration of many customers does not fit into a frame. Truncated, it would count as the
// whole state; without an update, followers read it from the store themselves.
TEST_CASE("an update that is too large is not sent in part")
{
    FeedUpdate update = someUpdate();
    // Random bytes, which do not compress.
    const RandomHook random = seededRandom(3);
    std::string noise(FrameLimits::bytes, '\0');
    for (char &c : noise)
        c = static_cast<char>(random());
    update.objects[0].value = noise;
    CHECK_FALSE(encodeFeedUpdate(update));
    update.objects.assign(5000, StoreObject{"upstreams/i", "", 1, false});
    CHECK_FALSE(encodeFeedUpdate(update));
}

// Guards against a damaged frame that crashes the decoder or yields more objects than were sent.
TEST_CASE("damaged updates are rejected or stay within bounds")
{
    const RandomHook random = seededRandom(31);
    const std::string whole = *encodeFeedUpdate(someUpdate());
    for (int round = 0; round < 20000; ++round) {
        std::string frame = whole;
        // The first three bytes are the type of message.
        const std::size_t place = 3 + random() % (frame.size() - 3);
        if (random() % 2 == 0)
            frame[place] = static_cast<char>(random());
        else
            frame.erase(place, 1 + random() % 8);
        const auto update = decodeFeedUpdate(frame);
        if (update)
            CHECK(update->objects.size() <= 2);
    }
}

// Guards against a truncated heartbeat that confirms a replica as current.
TEST_CASE("a heartbeat survives encoding and decoding, and truncated ones are rejected")
{
    const FeedHeartbeat sent{{{{40, 31, Millis(250)}, {41, 41, Millis(0)}}}};
    const std::string frame = encodeFeedHeartbeat(sent);
    const auto decoded = decodeFeedHeartbeat(frame);
    REQUIRE(decoded);
    CHECK(decoded->feeds[0].seen == 40);
    CHECK(decoded->feeds[0].changedAt == 31);
    CHECK(decoded->feeds[0].age == Millis(250));
    CHECK(decoded->feeds[1].changedAt == 41);
    CHECK_FALSE(decodeFeedUpdate(frame));
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeFeedHeartbeat(frame.substr(0, length)));
}

// Guards against a damaged query that selects a feed that does not exist.
TEST_CASE("a query survives encoding and decoding, and damaged ones are rejected")
{
    const std::string frame = encodeFeedQuery({FeedKind::Upstreams, 77});
    const auto decoded = decodeFeedQuery(frame);
    REQUIRE(decoded);
    CHECK(decoded->kind == FeedKind::Upstreams);
    CHECK(decoded->seen == 77);
    CHECK_FALSE(decodeFeedUpdate(frame));
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeFeedQuery(frame.substr(0, length)));
    std::string other = frame;
    other[3] = 2; // no kind has this number
    CHECK_FALSE(decodeFeedQuery(other));
}

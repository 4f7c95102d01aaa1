#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "gateway/peers/FeedUpdate.h"
#include "gateway/peers/LedgerMessage.h"
#include "membership/messages/CborArray.h"

using namespace cuminrail;

namespace {

FeedUpdate someUpdate()
{
    return {FeedKind::Upstreams,
            17,
            23,
            {{"upstreams/i-1", R"({"state":"ready","zone":"Süd"})", 20, false},
             {"upstreams/i-2", "", 22, true}}};
}

} // namespace

TEST_CASE("an update comes back as it was sent")
{
    const auto frame = encodeFeedUpdate(someUpdate());
    REQUIRE(frame);
    const auto back = decodeFeedUpdate(*frame);
    REQUIRE(back);
    CHECK(back->kind == FeedKind::Upstreams);
    CHECK(back->from == 17);
    CHECK(back->to == 23);
    REQUIRE(back->objects.size() == 2);
    CHECK(back->objects[0].path == "upstreams/i-1");
    CHECK(back->objects[0].value == someUpdate().objects[0].value);
    CHECK(back->objects[0].version == 20);
    CHECK(back->objects[1].removed);
    CHECK_FALSE(decodeLedgerMessage(*frame));
}

// A configuration of many customers does not fit into a frame. Cut off, it would be taken for all
// that there is; not told, followers read it themselves.
TEST_CASE("an update that is too large is not told in part")
{
    FeedUpdate update = someUpdate();
    update.objects[0].value = std::string(FrameLimits::bytes, 'x');
    CHECK_FALSE(encodeFeedUpdate(update));
    update.objects.assign(2000, StoreObject{"upstreams/i", "", 1, false});
    CHECK_FALSE(encodeFeedUpdate(update));
}

TEST_CASE("damaged updates are refused or hold no more than they may")
{
    const RandomHook random = seededRandom(31);
    const std::string whole = *encodeFeedUpdate(someUpdate());
    for (int round = 0; round < 20000; ++round) {
        std::string frame = whole;
        // The first three bytes tell the kind of message.
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

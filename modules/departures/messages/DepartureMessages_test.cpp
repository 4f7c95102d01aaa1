#include <doctest/doctest.h>

#include "departures/messages/DepartureMessages.h"

using namespace cuminrail;

TEST_CASE("an announcement is decoded as it was encoded, with its age bounded")
{
    const DepartureAnnouncement sent{
        true,
        {{1, Millis(0)}, {UINT64_MAX, Millis(250)}, {3, Millis(-5)}, {4, Millis::minutes(90)}}};
    const auto received = decodeDepartures(encodeDepartures(sent));
    REQUIRE(received);
    CHECK(received->isReport);
    REQUIRE(received->departures.size() == 4);
    CHECK(received->departures[1].incarnation == UINT64_MAX);
    CHECK(received->departures[1].age == Millis(250));
    CHECK(received->departures[2].age == Millis(0));
    CHECK(received->departures[3].age == Millis::minutes(60));
}

// A frame of another instance must not end this one, however it is damaged.
TEST_CASE("truncated, changed and foreign frames are rejected")
{
    const std::string frame = encodeDepartures({false, {{7, Millis(1)}, {8, Millis(2)}}});
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeDepartures(frame.substr(0, length)));
    for (std::size_t i = 0; i < frame.size(); ++i) {
        std::string changed = frame;
        changed[i] = static_cast<char>(changed[i] ^ 0x55);
        decodeDepartures(changed);
    }
    CHECK_FALSE(decodeDepartures(frame + "x"));
    CHECK_FALSE(decodeDepartures("\x83\x18\x61\xf4\x80"));
}

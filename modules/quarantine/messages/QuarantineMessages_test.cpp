#include <doctest/doctest.h>

#include "membership/messages/CborArrayReader.h"
#include "quarantine/messages/QuarantineMessages.h"

using namespace cuminrail;

namespace {

RequestFingerprint fingerprint()
{
    return RequestFingerprint::of("north", "/safe/x", "body");
}

} // namespace

TEST_CASE("each quarantine message decodes to what was encoded")
{
    const SuspicionAnnouncement announcement{
        true, {{fingerprint(), {7, 8}, Millis(4000)}, {fingerprint(), {9}, Millis(5)}}};
    const auto read = decodeQuarantineMessage(encodeQuarantineMessage(announcement));
    REQUIRE(read);
    const auto &same = std::get<SuspicionAnnouncement>(*read);
    CHECK(same.isReport);
    REQUIRE(same.suspicions.size() == 2);
    CHECK(same.suspicions[0].fingerprint == fingerprint());
    CHECK(same.suspicions[0].ended == std::vector<UpstreamIncarnation>{7, 8});
    CHECK(same.suspicions[0].remaining == Millis(4000));
    const auto cleared =
        decodeQuarantineMessage(encodeQuarantineMessage(SuspicionCleared{fingerprint()}));
    REQUIRE(cleared);
    CHECK(std::get<SuspicionCleared>(*cleared).fingerprint == fingerprint());
}

// Guards against truncated, foreign or out-of-bounds frames that would quarantine a request.
TEST_CASE("incomplete or out-of-bounds quarantine messages are rejected")
{
    using nlohmann::json;
    const std::string text = fingerprint().text();
    const std::string good = encodeQuarantineMessage(
        SuspicionAnnouncement{false, {{fingerprint(), {7, 8, 9}, Millis(4000)}}});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeQuarantineMessage(good.substr(0, length)));
    CHECK_FALSE(decodeQuarantineMessage(good + "x"));
    const std::uint64_t tooLong = SuspicionTable::retention.count() + 1;
    for (const json &bad :
         {json::array({0x51, false, json::array({json::array({text, json::array(), 5})})}),
          json::array({0x51, false, json::array({json::array({text, {1, 2, 3, 4}, 5})})}),
          json::array({0x51, false, json::array({json::array({text, {1}, tooLong})})}),
          json::array({0x51, false, json::array({json::array({"short", {1}, 5})})}),
          json::array({0x51, false, json::array({json::array({text, {-1}, 5})})}),
          json::array({0x51, 1, json::array()}), json::array({0x52, "short"}),
          json::array({0x53, text}), json(7)}) {
        CAPTURE(bad.dump());
        CHECK_FALSE(decodeQuarantineMessage(encodeCbor(bad)));
    }
    json many = json::array();
    for (std::size_t i = 0; i <= QuarantineMessageLimits::suspicions; ++i)
        many.push_back(json::array({text, {1}, 5}));
    CHECK_FALSE(decodeQuarantineMessage(encodeCbor(json::array({0x51, false, many}))));
}

#include <doctest/doctest.h>

#include "membership/messages/CborArray.h"
#include "quarantine/messages/QuarantineMessages.h"

using namespace cuminrail;

namespace {

RequestFingerprint asked()
{
    return RequestFingerprint::of("north", "/safe/x", "body");
}

} // namespace

TEST_CASE("each message of the quarantine reads back as it was written")
{
    const SuspicionNotice notice{true,
                                 {{asked(), {7, 8}, Millis(4000)}, {asked(), {9}, Millis(5)}}};
    const auto read = decodeQuarantineMessage(encodeQuarantineMessage(notice));
    REQUIRE(read);
    const auto &same = std::get<SuspicionNotice>(*read);
    CHECK(same.isReport);
    REQUIRE(same.suspicions.size() == 2);
    CHECK(same.suspicions[0].fingerprint == asked());
    CHECK(same.suspicions[0].ended == std::vector<UpstreamLife>{7, 8});
    CHECK(same.suspicions[0].left == Millis(4000));
    const auto cleared =
        decodeQuarantineMessage(encodeQuarantineMessage(SuspicionCleared{asked()}));
    REQUIRE(cleared);
    CHECK(std::get<SuspicionCleared>(*cleared).fingerprint == asked());
}

// Guards against frames cut short, of other formats or out of bounds that quarantine a request.
TEST_CASE("what is no whole message of the quarantine is refused")
{
    using nlohmann::json;
    const std::string text = asked().text();
    const std::string good =
        encodeQuarantineMessage(SuspicionNotice{false, {{asked(), {7, 8, 9}, Millis(4000)}}});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeQuarantineMessage(good.substr(0, length)));
    CHECK_FALSE(decodeQuarantineMessage(good + "x"));
    const std::uint64_t tooLong = SuspectBook::keptFor.count() + 1;
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

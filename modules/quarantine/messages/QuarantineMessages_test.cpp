#include <doctest/doctest.h>

#include "membership/messages/CborArrayReader.h"
#include "quarantine/messages/QuarantineMessages.h"
#include "quarantine/table/SuspicionTable.h"

using namespace cuminrail;

namespace {

ContentFingerprint fingerprint()
{
    return ContentFingerprint::ofRequest("north", "/safe/x", "body");
}

const std::vector<ContentFingerprint> parts{ContentFingerprint::ofPart("m", "a1"),
                                            ContentFingerprint::ofCustomerPart("north", "m", "a1")};

template<typename Message>
Message sent(const Message &message)
{
    const auto read = decodeQuarantineMessage(encodeQuarantineMessage(message));
    REQUIRE(read);
    return std::get<Message>(*read);
}

} // namespace

TEST_CASE("each quarantine message decodes to what was encoded")
{
    const auto same = sent(SuspicionAnnouncement{
        true,
        {{fingerprint(), {{7, Millis(4000), true}, {8, Millis(5), false}}, true},
         {parts[0], {{9, Millis(5), false}}, false}}});
    CHECK(same.isReport);
    REQUIRE(same.suspicions.size() == 2);
    CHECK(same.suspicions[0].content == fingerprint());
    REQUIRE(same.suspicions[0].endings.size() == 2);
    CHECK(same.suspicions[0].endings[0].upstream == 7);
    CHECK(same.suspicions[0].endings[0].age == Millis(4000));
    CHECK(same.suspicions[0].endings[0].isTrial);
    CHECK_FALSE(same.suspicions[0].endings[1].isTrial);
    CHECK(same.suspicions[0].wasAnswered);
    const auto cleared = sent(SuspicionCleared{parts[1], {7, 8}});
    CHECK(cleared.content == parts[1]);
    CHECK(cleared.upstreams == std::vector<UpstreamIncarnation>{7, 8});
    const auto quarantines =
        sent(QuarantineAnnouncement{{{parts, {7, 8, 9}, Millis(30), Millis(4000)}}, true});
    CHECK(quarantines.isLast);
    REQUIRE(quarantines.quarantines.size() == 1);
    CHECK(quarantines.quarantines[0].contents == parts);
    CHECK(quarantines.quarantines[0].ended == std::vector<UpstreamIncarnation>{7, 8, 9});
    CHECK(quarantines.quarantines[0].age == Millis(30));
    CHECK(quarantines.quarantines[0].remaining == Millis(4000));
    const auto lifted = sent(QuarantineLifted{fingerprint().text(), parts, {7}});
    CHECK(lifted.id == fingerprint().text());
    CHECK(lifted.contents == parts);
    sent(QuarantineQuery{});
    CHECK(sent(TrialQuery{parts[0]}).content == parts[0]);
    CHECK(sent(TrialReply{parts[0], true}).isGranted);
    CHECK(sent(TrialEnded{parts[0]}).content == parts[0]);
}

// Guards against truncated, foreign or out-of-bounds frames that would quarantine a request.
TEST_CASE("incomplete or out-of-bounds quarantine messages are rejected")
{
    using nlohmann::json;
    const std::string text = fingerprint().text();
    const json ending = json::array({7, 5, false});
    const std::string good = encodeQuarantineMessage(
        SuspicionAnnouncement{false, {{fingerprint(), {{7, Millis(5), false}}, false}}});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeQuarantineMessage(good.substr(0, length)));
    CHECK_FALSE(decodeQuarantineMessage(good + "x"));
    const std::uint64_t tooLong = QuarantineTable::retention.count() + 1;
    const auto suspicion = [&](const json &content, const json &endings) {
        return json::array({0x54, false, json::array({json::array({content, endings, false})})});
    };
    json tooMany = json::array();
    for (std::size_t i = 0; i <= SuspicionTable::maxEndings; ++i)
        tooMany.push_back(json::array({i, 5, false}));
    json contents = json::array();
    for (std::size_t i = 0; i <= Quarantine::maxContents; ++i)
        contents.push_back(text);
    const auto quarantine = [&](const json &list, const json &ended, std::uint64_t remaining) {
        return json::array({0x56, false, json::array({json::array({list, ended, 5, remaining})})});
    };
    const json one = json::array({text});
    for (const json &bad : {suspicion(text, json::array()),
                            suspicion(text, tooMany),
                            suspicion(text, json::array({json::array({7, tooLong, false})})),
                            suspicion("short", json::array({ending})),
                            suspicion(text, json::array({json::array({-1, 5, false})})),
                            suspicion(text, json::array({json::array({7, 5})})),
                            json::array({0x54, 1, json::array()}),
                            json::array({0x55, "short", json::array({1})}),
                            json::array({0x55, text}),
                            json::array({0x55, text, json::array({"x"})}),
                            quarantine(json::array(), {7}, 5),
                            quarantine(contents, {7}, 5),
                            quarantine(one, {"x"}, 5),
                            quarantine(one, {7}, tooLong),
                            json::array({0x57, text, json::array(), json::array()}),
                            json::array({0x58, 1}),
                            json::array({0x59, "short"}),
                            json::array({0x5a, text, 1}),
                            json::array({0x5b, "short"}),
                            json::array({0x5c, text}),
                            json(7)}) {
        CAPTURE(bad.dump());
        CHECK_FALSE(decodeQuarantineMessage(encodeCbor(bad)));
    }
    json many = json::array();
    for (std::size_t i = 0; i <= QuarantineMessageLimits::suspicions; ++i)
        many.push_back(json::array({text, json::array({ending}), false}));
    CHECK_FALSE(decodeQuarantineMessage(encodeCbor(json::array({0x54, false, many}))));
}

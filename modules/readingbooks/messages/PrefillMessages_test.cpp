#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "membership/messages/CborArrayReader.h"
#include "readingbooks/messages/PrefillMessages.h"

using namespace cuminrail;

namespace {

PromptChain someChain(std::size_t links)
{
    PromptChain chain;
    for (std::size_t i = 0; i < links; ++i)
        chain.links.push_back({0xfedcba9876543210ULL + i, static_cast<std::uint32_t>(100 + i)});
    chain.tokens = 17020;
    return chain;
}

std::vector<std::string> samples()
{
    return {
        encodePrefillMessage(PrefillQuery{7, someChain(3), {1, 2, 0xffffffffffffffffULL}}),
        encodePrefillMessage(PrefillReply{7, {{120, 3000, 13300, true}, {0, 17020, 0, false}}}),
        encodePrefillMessage(PrefillStart{8, 99, someChain(2), 3000, {61.25, 131}}),
        encodePrefillMessage(PrefillEnd{8, 99, true}),
    };
}

template<typename Message>
Message decoded(const PrefillMessage &message)
{
    const auto back = decodePrefillMessage(encodePrefillMessage(message));
    REQUIRE(back);
    REQUIRE(std::holds_alternative<Message>(*back));
    return std::get<Message>(*back);
}

} // namespace

TEST_CASE("each prefill message decodes to what was encoded")
{
    const auto query = decoded<PrefillQuery>(PrefillQuery{7, someChain(3), {5, 6}});
    CHECK(query.number == 7);
    CHECK(query.chain.tokens == 17020);
    REQUIRE(query.chain.links.size() == 3);
    CHECK(query.chain.links[2].key == 0xfedcba9876543212ULL);
    CHECK(query.chain.links[2].tokens == 102);
    CHECK(query.engines == std::vector<EngineKey>{5, 6});
    const auto reply = decoded<PrefillReply>(PrefillReply{9, {{120.4, 3000, 13300, true}}});
    REQUIRE(reply.estimates.size() == 1);
    CHECK(reply.estimates[0].waitMillis == doctest::Approx(120));
    CHECK(reply.estimates[0].heldTokens == doctest::Approx(13300));
    CHECK(reply.estimates[0].knowsParts);
    const auto start = decoded<PrefillStart>(PrefillStart{8, 99, someChain(2), 3000, {61.25, 131}});
    CHECK(start.engine == 99);
    CHECK(start.freshTokens == doctest::Approx(3000));
    CHECK(start.rate.tokensPerMilli == doctest::Approx(61.25));
    CHECK(start.rate.fixedMillis == doctest::Approx(131));
    const auto end = decoded<PrefillEnd>(PrefillEnd{8, 99, true});
    CHECK(end.wasPrefilled);
}

// Guards against frames that grow with the length of a prompt.
TEST_CASE("of a prompt with many parts only the first ones are sent")
{
    const auto start = decoded<PrefillStart>(PrefillStart{8, 99, someChain(200), 3000, {60, 45}});
    CHECK(start.chain.links.size() == PrefillMessageLimits::links);
    CHECK(start.chain.tokens == 17020);
}

// Guards against malformed frames that are accepted in part.
TEST_CASE("malformed messages are rejected")
{
    using nlohmann::json;
    const std::pair<const char *, json> rows[] = {
        {"not an array", json("question")},
        {"empty", json::array()},
        {"another format", json::array({0x21, 7, 100, json::array(), json::array()})},
        {"a missing element", json::array({0x14, 8, 99})},
        {"one element too many", json::array({0x14, 8, 99, true, 0})},
        {"a string instead of a number", json::array({0x14, "8", 99, true})},
        {"a negative number", json::array({0x14, 8, -1, true})},
        {"half a link", json::array({0x13, 8, 99, 100, json::array({5}), 3000, 6000, 45})},
        {"half an estimate", json::array({0x12, 8, json::array({5, 6})})},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.first));
        CHECK_FALSE(decodePrefillMessage(encodeCbor(row.second)));
    }
    json many = json::array();
    for (std::uint64_t i = 0; i <= PrefillMessageLimits::engines; ++i)
        many.push_back(i);
    CHECK_FALSE(decodePrefillMessage(encodeCbor(json::array({0x11, 7, 100, json::array(), many}))));
}

// Guards against arbitrary bytes: from a peer of another build, or from corruption that passed all
// checksums.
TEST_CASE("randomly corrupted frames are rejected or decode to a message within bounds")
{
    const RandomHook random = seededRandom(20);
    for (int round = 0; round < 20000; ++round) {
        const auto all = samples();
        std::string frame = all[random() % all.size()];
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int i = 0; i < changes && !frame.empty(); ++i) {
            const std::size_t place = random() % frame.size();
            switch (random() % 3) {
            case 0:
                frame[place] = static_cast<char>(random());
                break;
            case 1:
                frame.erase(place, 1 + random() % 4);
                break;
            default:
                frame.insert(place, 1, static_cast<char>(random()));
            }
        }
        const auto message = decodePrefillMessage(frame);
        if (!message || !std::holds_alternative<PrefillQuery>(*message))
            continue;
        CHECK(std::get<PrefillQuery>(*message).engines.size() <= PrefillMessageLimits::engines);
        CHECK(std::get<PrefillQuery>(*message).chain.links.size() <= PrefillMessageLimits::links);
    }
}

#include <doctest/doctest.h>

#include "carriage/messages/CarriageMessages.h"

using namespace cuminrail;

namespace {

CarriedOpen sampleOpen()
{
    CarriedOpen open;
    open.call = 7;
    open.customer = "north";
    open.method = "POST";
    open.target = "/safe/x?a=\xff";
    open.fields = {{"Host", "h.example"}, {"X-Binary", std::string("\0\xfe", 2)}};
    open.bodyBytes = 5;
    open.timeLeft = Millis(1234);
    open.attempts = 2;
    open.isFirstSendCounted = true;
    open.resumeAfter = 12;
    return open;
}

std::vector<CarriageMessage> samples()
{
    CarriedEnd end;
    end.call = 7;
    end.result = CarriedResult::NotRun;
    end.bytes = 3;
    end.sends = 2;
    end.retryAfter = Millis(400);
    end.reason = "full";
    return {CarrierQuery{},
            CarrierStatus{true},
            sampleOpen(),
            CarriedChunk{7, true, 16, "data"},
            CarriedCredit{7, false, 65536},
            CarriedHead{7, 200, true, {{"A", "b"}}},
            end,
            CarriedCancel{7}};
}

} // namespace

TEST_CASE("messages of carried requests are decoded as they were encoded")
{
    for (const CarriageMessage &message : samples()) {
        const std::string frame = encodeCarriage(message);
        const auto decoded = decodeCarriage(frame);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encodeCarriage(*decoded) == frame);
    }
    const auto decoded = decodeCarriage(encodeCarriage(sampleOpen()));
    const auto &open = std::get<CarriedOpen>(*decoded);
    CHECK(open.target == sampleOpen().target);
    CHECK(open.fields.at(1).value == sampleOpen().fields.at(1).value);
    CHECK(open.resumeAfter == sampleOpen().resumeAfter);
}

// A peer of another build, or a harmed frame, must not be read as something else.
TEST_CASE("a truncated, extended or altered message is not decoded as one of another size")
{
    for (const CarriageMessage &message : samples()) {
        const std::string frame = encodeCarriage(message);
        for (std::size_t size = 0; size < frame.size(); ++size)
            CHECK_FALSE(decodeCarriage(frame.substr(0, size)));
        CHECK_FALSE(decodeCarriage(frame + "x"));
        for (std::size_t at = 0; at < frame.size(); ++at) {
            std::string altered = frame;
            altered[at] = static_cast<char>(altered[at] ^ 0x55);
            const auto decoded = decodeCarriage(altered);
            if (decoded)
                CHECK(encodeCarriage(*decoded).size() <= frame.size() + 16);
        }
    }
    CHECK_FALSE(decodeCarriage(
        encodeCarriage(CarriedChunk{7, true, 0, std::string(CarriageLimits::chunk + 1, 'x')})));
}

// Guards against a status line that a peer of another build has let through.
TEST_CASE("a carried response has a final status of HTTP")
{
    struct Row
    {
        std::uint16_t status;
        bool isValid;
    };
    for (const Row &row :
         {Row{0, false}, Row{99, false}, Row{100, false}, Row{199, false}, Row{200, true},
          Row{503, true}, Row{599, true}, Row{600, false}, Row{999, false}}) {
        CAPTURE(row.status);
        CHECK(decodeCarriage(encodeCarriage(CarriedHead{7, row.status, false, {}})).has_value()
              == row.isValid);
    }
}

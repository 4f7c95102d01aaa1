#include <doctest/doctest.h>

#include "gateway/peers/LedgerMessage.h"
#include "membership/messages/CborArray.h"
#include "readingbooks/messages/BookMessages.h"

using namespace cuminrail;

TEST_CASE("a ledger comes back as it was sent, and is told from messages about books")
{
    const LedgerMessage message{"instance-1.1700000000000",
                                R"({"complete_through":7,"windows":{"7":{"Bücher AG":3}}})"};
    const std::string frame = encodeLedgerMessage(message);
    const auto back = decodeLedgerMessage(frame);
    REQUIRE(back);
    CHECK(back->owner == message.owner);
    CHECK(back->ledger == message.ledger);
    CHECK_FALSE(decodeBookMessage(frame));
    CHECK_FALSE(decodeLedgerMessage(encodeBookMessage(BookEnd{8, 99, true})));
}

TEST_CASE("what is no ledger message is refused")
{
    using nlohmann::json;
    const json bytes = json::binary({'{', '}'});
    const std::pair<const char *, json> rows[] = {
        {"no ledger", json::array({0x21, "i-1.1", 5})},
        {"a text for bytes", json::array({0x21, "i-1.1", "{}"})},
        {"no owner", json::array({0x21, "", bytes})},
        {"a space in the owner", json::array({0x21, "i 1", bytes})},
        {"too short", json::array({0x21, "i-1.1"})},
        {"another tag", json::array({0x22, "i-1.1", bytes})},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.first));
        CHECK_FALSE(decodeLedgerMessage(encodeCbor(row.second)));
    }
    CHECK_FALSE(decodeLedgerMessage(std::string("\x83\x18\x21", 3)));
    CHECK_FALSE(decodeLedgerMessage(""));
}

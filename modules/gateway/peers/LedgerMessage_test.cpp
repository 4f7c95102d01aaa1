#include <doctest/doctest.h>

#include "gateway/peers/LedgerMessage.h"
#include "membership/messages/CborArrayReader.h"
#include "readingbooks/messages/PrefillMessages.h"

using namespace cuminrail;

// Frames of all kinds arrive on the same link, so each decoder must refuse those of the others.
TEST_CASE("a ledger message round-trips and is not mistaken for another kind of message")
{
    const LedgerMessage message{"instance-1.1700000000000", 9,
                                R"({"complete_through":7,"windows":{"7":{"Bücher AG":3}}})"};
    const std::string frame = encodeLedgerMessage(message);
    const auto back = decodeLedgerMessage(frame);
    REQUIRE(back);
    CHECK(back->owner == message.owner);
    CHECK(back->version == 9);
    CHECK(back->ledger == message.ledger);
    CHECK_FALSE(decodeLedgerReceipt(frame));
    CHECK_FALSE(decodePrefillMessage(frame));
    CHECK_FALSE(decodeLedgerMessage(encodePrefillMessage(PrefillEnd{8, 99, true})));
}

// A truncated receipt taken as valid would mark a ledger as stored that is not.
TEST_CASE("a receipt round-trips, and truncated receipts are rejected")
{
    const std::string frame = encodeLedgerReceipt({"instance-1.17", 9});
    const auto back = decodeLedgerReceipt(frame);
    REQUIRE(back);
    CHECK(back->owner == "instance-1.17");
    CHECK(back->version == 9);
    CHECK_FALSE(decodeLedgerMessage(frame));
    CHECK_FALSE(decodePrefillMessage(frame));
    for (std::size_t length = 0; length < frame.size(); ++length)
        CHECK_FALSE(decodeLedgerReceipt(frame.substr(0, length)));
}

// Frames may come malformed from another version; a wrong field must not reach the ledgers.
TEST_CASE("malformed ledger messages are rejected")
{
    using nlohmann::json;
    const json bytes = json::binary({'{', '}'});
    const std::pair<const char *, json> rows[] = {
        {"no ledger", json::array({0x21, "i-1.1", 1, 5})},
        {"a string instead of bytes", json::array({0x21, "i-1.1", 1, "{}"})},
        {"no owner", json::array({0x21, "", 1, bytes})},
        {"a space in the owner", json::array({0x21, "i 1", 1, bytes})},
        {"a string as the version", json::array({0x21, "i-1.1", "1", bytes})},
        {"too short", json::array({0x21, "i-1.1", 1})},
        {"another tag", json::array({0x23, "i-1.1", 1, bytes})},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.first));
        CHECK_FALSE(decodeLedgerMessage(encodeCbor(row.second)));
    }
    CHECK_FALSE(decodeLedgerMessage(std::string("\x84\x18\x21", 3)));
    CHECK_FALSE(decodeLedgerMessage(""));
}

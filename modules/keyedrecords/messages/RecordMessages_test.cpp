#include <doctest/doctest.h>

#include "keyedrecords/messages/RecordMessages.h"

using namespace cuminrail;

TEST_CASE("record messages are decoded as they were encoded")
{
    const std::vector<RecordMessage> messages{
        RecordDelivery{7, {{1, 2, Millis(3)}, {UINT64_MAX, UINT64_MAX, Millis(0)}}},
        RecordReceipt{7}, RecordQuery{8, 9, 10}, RecordReply{8, 0, true, 11}};
    for (const RecordMessage &message : messages) {
        const std::string frame = encodeRecordMessage(message);
        const auto decoded = decodeRecordMessage(frame);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encodeRecordMessage(*decoded) == frame);
        for (std::size_t size = 0; size < frame.size(); ++size)
            CHECK_FALSE(decodeRecordMessage(frame.substr(0, size)));
        CHECK_FALSE(decodeRecordMessage(frame + "x"));
    }
}

// Guards against frames that fill the memory, or records that state nothing.
TEST_CASE("deliveries out of bounds are rejected")
{
    RecordDelivery delivery{1, {}};
    delivery.records.assign(RecordMessageLimits::records, {1, 2, Millis(0)});
    CHECK(decodeRecordMessage(encodeRecordMessage(delivery)));
    delivery.records.push_back({1, 2, Millis(0)});
    CHECK_FALSE(decodeRecordMessage(encodeRecordMessage(delivery)));
    CHECK_FALSE(decodeRecordMessage(encodeRecordMessage(RecordDelivery{1, {{5, 0, Millis(0)}}})));
}

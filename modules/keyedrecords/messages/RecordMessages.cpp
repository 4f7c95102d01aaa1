#include "keyedrecords/messages/RecordMessages.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = RecordMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Delivery = 0x81, Receipt = 0x82, Query = 0x83, Reply = 0x84 };

json encode(const RecordDelivery &delivery)
{
    // Flat, as arrays of three would add a byte to each record.
    json fields = json::array();
    for (const SentRecord &each : delivery.records) {
        const auto age = std::clamp<std::int64_t>(each.age.count(), 0, Limits::millis);
        fields.push_back(each.key);
        fields.push_back(each.value);
        fields.push_back(static_cast<std::uint64_t>(age));
    }
    return json::array({Tag::Delivery, delivery.number, std::move(fields)});
}

json encode(const RecordReceipt &receipt)
{
    return json::array({Tag::Receipt, receipt.number});
}

json encode(const RecordQuery &query)
{
    return json::array({Tag::Query, query.number, query.key, query.scope});
}

json encode(const RecordReply &reply)
{
    return json::array({Tag::Reply, reply.number, reply.value, reply.isAmbiguous, reply.statement});
}

std::optional<RecordMessage> decodeDelivery(CborArrayReader &message)
{
    constexpr std::size_t fieldsPerRecord = 3;
    RecordDelivery delivery;
    delivery.number = message.number();
    const json &list = message.list(Limits::records * fieldsPerRecord);
    if (list.size() % fieldsPerRecord != 0)
        return std::nullopt;
    CborArrayReader fields(list);
    for (std::size_t i = 0; i < list.size() / fieldsPerRecord; ++i) {
        SentRecord record;
        record.key = fields.number();
        record.value = fields.number();
        record.age = Millis(static_cast<std::int64_t>(fields.number(Limits::millis)));
        if (record.value == 0)
            return std::nullopt;
        delivery.records.push_back(record);
    }
    return fields.isFullyRead() ? std::optional<RecordMessage>(std::move(delivery)) : std::nullopt;
}

std::optional<RecordMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Delivery:
        return decodeDelivery(message);
    case Tag::Receipt:
        return RecordReceipt{message.number()};
    case Tag::Query: {
        RecordQuery query;
        query.number = message.number();
        query.key = message.number();
        query.scope = message.number();
        return query;
    }
    case Tag::Reply: {
        RecordReply reply;
        reply.number = message.number();
        reply.value = message.number();
        reply.isAmbiguous = message.boolean();
        reply.statement = message.number();
        return reply;
    }
    }
    return std::nullopt;
}

} // namespace

std::string encodeRecordMessage(const RecordMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<RecordMessage> decodeRecordMessage(const std::string &frame)
{
    return decodeFrame(frame, decodeMessage);
}

} // namespace cuminrail

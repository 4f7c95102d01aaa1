#include "quotas/messages/QuotaMessages.h"

#include "membership/messages/CborArrayReader.h"

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = QuotaMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Query = 0x41, Reply = 0x42, Charge = 0x43 };

json encode(const QuotaQuery &query)
{
    return json::array({Tag::Query, query.number, query.customer, query.cost});
}

json encode(const QuotaReply &reply)
{
    return json::array(
        {Tag::Reply, reply.number, reply.isGranted, reply.retryAfterMillis, reply.level});
}

json encode(const QuotaCharge &charge)
{
    return json::array({Tag::Charge, charge.customer, charge.cost, charge.isGivenBack});
}

std::optional<QuotaMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Query: {
        QuotaQuery query;
        query.number = message.number();
        query.customer = message.name(Limits::customerBytes);
        query.cost = message.number(Limits::cost);
        return query;
    }
    case Tag::Reply: {
        QuotaReply reply;
        reply.number = message.number();
        reply.isGranted = message.boolean();
        reply.retryAfterMillis = message.number(Limits::millis);
        reply.level = message.number(Limits::cost);
        return reply;
    }
    case Tag::Charge: {
        QuotaCharge charge;
        charge.customer = message.name(Limits::customerBytes);
        charge.cost = message.number(Limits::cost);
        charge.isGivenBack = message.boolean();
        return charge;
    }
    }
    return std::nullopt;
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<QuotaMessage> decodeQuotaMessage(const std::string &frame)
{
    return decodeFrame(frame, decodeMessage);
}

} // namespace cuminrail

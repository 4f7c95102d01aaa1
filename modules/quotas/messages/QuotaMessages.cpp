#include "quotas/messages/QuotaMessages.h"

#include "membership/messages/CborArray.h"

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = QuotaMessageLimits;

/** The first element of each frame: format and kind. Another format is refused whole. */
enum class Tag : std::uint8_t { Question = 0x41, Answer = 0x42, Charge = 0x43 };

json encode(const QuotaQuestion &question)
{
    return json::array({Tag::Question, question.number, question.customer, question.cost});
}

json encode(const QuotaAnswer &answer)
{
    return json::array(
        {Tag::Answer, answer.number, answer.isGranted, answer.comeBackMillis, answer.level});
}

json encode(const QuotaCharge &charge)
{
    return json::array({Tag::Charge, charge.customer, charge.cost, charge.isGivenBack});
}

std::optional<QuotaMessage> take(CborArray &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Question: {
        QuotaQuestion question;
        question.number = message.number();
        question.customer = message.name(Limits::customerBytes);
        question.cost = message.number(Limits::cost);
        return question;
    }
    case Tag::Answer: {
        QuotaAnswer answer;
        answer.number = message.number();
        answer.isGranted = message.boolean();
        answer.comeBackMillis = message.number(Limits::millis);
        answer.level = message.number(Limits::cost);
        return answer;
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
    return decodeFrame(frame, take);
}

} // namespace cuminrail

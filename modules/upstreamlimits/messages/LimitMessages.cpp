#include "upstreamlimits/messages/LimitMessages.h"

#include "membership/messages/CborArray.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = LimitMessageLimits;

/** The first element of each frame: format and kind. Another format is refused whole. */
enum class Tag : std::uint8_t { Notice = 0x61, Quota = 0x62 };

constexpr double unit = 1000;

std::uint64_t thousandths(double perSecond)
{
    const double most = static_cast<double>(Limits::thousandths);
    return static_cast<std::uint64_t>(std::clamp(std::floor(perSecond * unit), 0.0, most));
}

json encode(const LimitNotice &notice)
{
    json limits = json::array();
    for (const ToldLimit &each : notice.limits) {
        const std::int64_t age = std::clamp<std::int64_t>(each.age.count(), 0, Limits::millis);
        limits.push_back(json::array({each.life, each.perSecond.has_value(),
                                      thousandths(each.perSecond.value_or(0)),
                                      static_cast<std::uint64_t>(age)}));
    }
    return json::array({Tag::Notice, notice.isReport, std::move(limits)});
}

json encode(const LimitQuotaFrame &quota)
{
    const std::vector<std::uint8_t> bytes(quota.frame.begin(), quota.frame.end());
    return json::array({Tag::Quota, json::binary(bytes)});
}

std::optional<ToldLimit> takeLimit(const json &value)
{
    CborArray elements(value);
    ToldLimit told;
    told.life = elements.number();
    const bool isLimited = elements.boolean();
    const double rate = static_cast<double>(elements.number(Limits::thousandths)) / unit;
    if (isLimited)
        told.perSecond = rate;
    told.age = Millis(static_cast<std::int64_t>(elements.number(Limits::millis)));
    return elements.isWhole() ? std::optional<ToldLimit>(told) : std::nullopt;
}

std::optional<LimitMessage> takeNotice(CborArray &message)
{
    LimitNotice notice;
    notice.isReport = message.boolean();
    for (const json &each : message.list(Limits::limits)) {
        const auto told = takeLimit(each);
        if (!told)
            return std::nullopt;
        notice.limits.push_back(*told);
    }
    return notice;
}

std::optional<LimitMessage> take(CborArray &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Notice:
        return takeNotice(message);
    case Tag::Quota:
        return LimitQuotaFrame{message.bytes(Limits::frameBytes)};
    }
    return std::nullopt;
}

} // namespace

std::string encodeLimitMessage(const LimitMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<LimitMessage> decodeLimitMessage(const std::string &frame)
{
    return decodeFrame(frame, take);
}

} // namespace cuminrail

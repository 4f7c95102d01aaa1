#include "upstreamlimits/messages/LimitMessages.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = LimitMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Announcement = 0x61, Quota = 0x62 };

constexpr double rateUnit = 1000;

std::uint64_t thousandths(double perSecond)
{
    const double maxThousandths = static_cast<double>(Limits::thousandths);
    return static_cast<std::uint64_t>(
        std::clamp(std::floor(perSecond * rateUnit), 0.0, maxThousandths));
}

json encode(const LimitAnnouncement &announcement)
{
    json limits = json::array();
    for (const AnnouncedLimit &each : announcement.limits) {
        const std::int64_t age = std::clamp<std::int64_t>(each.age.count(), 0, Limits::millis);
        limits.push_back(json::array({each.incarnation, each.perSecond.has_value(),
                                      thousandths(each.perSecond.value_or(0)),
                                      static_cast<std::uint64_t>(age)}));
    }
    return json::array({Tag::Announcement, announcement.isReport, std::move(limits)});
}

json encode(const LimitQuotaFrame &quota)
{
    const std::vector<std::uint8_t> bytes(quota.frame.begin(), quota.frame.end());
    return json::array({Tag::Quota, json::binary(bytes)});
}

std::optional<AnnouncedLimit> decodeLimit(const json &value)
{
    CborArrayReader elements(value);
    AnnouncedLimit announced;
    announced.incarnation = elements.number();
    const bool isLimited = elements.boolean();
    const double rate = static_cast<double>(elements.number(Limits::thousandths)) / rateUnit;
    if (isLimited)
        announced.perSecond = rate;
    announced.age = Millis(static_cast<std::int64_t>(elements.number(Limits::millis)));
    return elements.isFullyRead() ? std::optional<AnnouncedLimit>(announced) : std::nullopt;
}

std::optional<LimitMessage> decodeAnnouncement(CborArrayReader &message)
{
    LimitAnnouncement announcement;
    announcement.isReport = message.boolean();
    for (const json &each : message.list(Limits::limits)) {
        const auto announced = decodeLimit(each);
        if (!announced)
            return std::nullopt;
        announcement.limits.push_back(*announced);
    }
    return announcement;
}

std::optional<LimitMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Announcement:
        return decodeAnnouncement(message);
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
    return decodeFrame(frame, decodeMessage);
}

} // namespace cuminrail

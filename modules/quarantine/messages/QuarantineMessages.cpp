#include "quarantine/messages/QuarantineMessages.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = QuarantineMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Announcement = 0x51, Cleared = 0x52 };

json encode(const SuspicionAnnouncement &announcement)
{
    json suspicions = json::array();
    for (const Suspicion &each : announcement.suspicions)
        suspicions.push_back(json::array(
            {each.fingerprint.text(), each.ended,
             static_cast<std::uint64_t>(std::max<std::int64_t>(0, each.remaining.count()))}));
    return json::array({Tag::Announcement, announcement.isReport, std::move(suspicions)});
}

json encode(const SuspicionCleared &cleared)
{
    return json::array({Tag::Cleared, cleared.fingerprint.text()});
}

std::optional<Suspicion> decodeSuspicion(const json &value)
{
    CborArrayReader elements(value);
    const auto fingerprint =
        RequestFingerprint::fromText(elements.name(RequestFingerprint::digits));
    const json &incarnations = elements.list(SuspicionTable::maxEnded);
    const std::uint64_t remaining = elements.number(SuspicionTable::retention.count());
    if (!fingerprint || !elements.isFullyRead() || incarnations.empty())
        return std::nullopt;
    Suspicion suspicion{*fingerprint, {}, Millis(static_cast<std::int64_t>(remaining))};
    CborArrayReader ended(incarnations);
    for (std::size_t i = 0; i < incarnations.size(); ++i)
        suspicion.ended.push_back(ended.number());
    return ended.isFullyRead() ? std::optional<Suspicion>(std::move(suspicion)) : std::nullopt;
}

std::optional<QuarantineMessage> decodeAnnouncement(CborArrayReader &message)
{
    SuspicionAnnouncement announcement;
    announcement.isReport = message.boolean();
    for (const json &each : message.list(Limits::suspicions)) {
        auto suspicion = decodeSuspicion(each);
        if (!suspicion)
            return std::nullopt;
        announcement.suspicions.push_back(std::move(*suspicion));
    }
    return announcement;
}

std::optional<QuarantineMessage> decodeCleared(CborArrayReader &message)
{
    const auto fingerprint = RequestFingerprint::fromText(message.name(RequestFingerprint::digits));
    if (!fingerprint)
        return std::nullopt;
    return SuspicionCleared{*fingerprint};
}

std::optional<QuarantineMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Announcement:
        return decodeAnnouncement(message);
    case Tag::Cleared:
        return decodeCleared(message);
    }
    return std::nullopt;
}

} // namespace

std::string encodeQuarantineMessage(const QuarantineMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<QuarantineMessage> decodeQuarantineMessage(const std::string &frame)
{
    return decodeFrame(frame, decodeMessage);
}

} // namespace cuminrail

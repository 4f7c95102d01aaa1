#include "quarantine/messages/QuarantineMessages.h"

#include "membership/messages/CborArray.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = QuarantineMessageLimits;

/** The first element of each frame: format and kind. Another format is refused whole. */
enum class Tag : std::uint8_t { Notice = 0x51, Cleared = 0x52 };

json encode(const SuspicionNotice &notice)
{
    json suspicions = json::array();
    for (const Suspicion &each : notice.suspicions)
        suspicions.push_back(json::array(
            {each.fingerprint.text(), each.ended,
             static_cast<std::uint64_t>(std::max<std::int64_t>(0, each.left.count()))}));
    return json::array({Tag::Notice, notice.isReport, std::move(suspicions)});
}

json encode(const SuspicionCleared &cleared)
{
    return json::array({Tag::Cleared, cleared.fingerprint.text()});
}

std::optional<Suspicion> takeSuspicion(const json &value)
{
    CborArray elements(value);
    const auto fingerprint =
        RequestFingerprint::fromText(elements.name(RequestFingerprint::digits));
    const json &lives = elements.list(SuspectBook::mostEnds);
    const std::uint64_t left = elements.number(SuspectBook::keptFor.count());
    if (!fingerprint || !elements.isWhole() || lives.empty())
        return std::nullopt;
    Suspicion suspicion{*fingerprint, {}, Millis(static_cast<std::int64_t>(left))};
    CborArray ended(lives);
    for (std::size_t i = 0; i < lives.size(); ++i)
        suspicion.ended.push_back(ended.number());
    return ended.isWhole() ? std::optional<Suspicion>(std::move(suspicion)) : std::nullopt;
}

std::optional<QuarantineMessage> takeNotice(CborArray &message)
{
    SuspicionNotice notice;
    notice.isReport = message.boolean();
    for (const json &each : message.list(Limits::suspicions)) {
        auto suspicion = takeSuspicion(each);
        if (!suspicion)
            return std::nullopt;
        notice.suspicions.push_back(std::move(*suspicion));
    }
    return notice;
}

std::optional<QuarantineMessage> takeCleared(CborArray &message)
{
    const auto fingerprint = RequestFingerprint::fromText(message.name(RequestFingerprint::digits));
    if (!fingerprint)
        return std::nullopt;
    return SuspicionCleared{*fingerprint};
}

std::optional<QuarantineMessage> take(CborArray &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Notice:
        return takeNotice(message);
    case Tag::Cleared:
        return takeCleared(message);
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
    return decodeFrame(frame, take);
}

} // namespace cuminrail

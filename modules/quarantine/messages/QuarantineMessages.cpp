#include "quarantine/messages/QuarantineMessages.h"

#include "membership/messages/CborArrayReader.h"
#include "quarantine/table/SuspicionTable.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = QuarantineMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t {
    Announcement = 0x54,
    Cleared = 0x55,
    Quarantines = 0x56,
    Lifted = 0x57,
    QuarantineQuery = 0x58,
    TrialQuery = 0x59,
    TrialReply = 0x5a,
    TrialEnded = 0x5b,
};

constexpr auto retentionMillis = static_cast<std::uint64_t>(QuarantineTable::retention.count());

std::uint64_t numberOf(Millis span)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

json encodeContents(const std::vector<ContentFingerprint> &contents)
{
    json list = json::array();
    for (const ContentFingerprint &each : contents)
        list.push_back(each.text());
    return list;
}

json encode(const SuspicionAnnouncement &announcement)
{
    json suspicions = json::array();
    for (const Suspicion &each : announcement.suspicions) {
        json endings = json::array();
        for (const UpstreamEnding &ending : each.endings)
            endings.push_back(json::array({ending.upstream, numberOf(ending.age), ending.isTrial}));
        suspicions.push_back(
            json::array({each.content.text(), std::move(endings), each.wasAnswered}));
    }
    return json::array({Tag::Announcement, announcement.isReport, std::move(suspicions)});
}

json encode(const SuspicionCleared &cleared)
{
    return json::array({Tag::Cleared, cleared.content.text(), cleared.upstreams});
}

json encode(const QuarantineAnnouncement &announcement)
{
    json quarantines = json::array();
    for (const Quarantine &each : announcement.quarantines)
        quarantines.push_back(json::array({encodeContents(each.contents), each.ended,
                                           numberOf(each.age), numberOf(each.remaining)}));
    return json::array({Tag::Quarantines, announcement.isLast, std::move(quarantines)});
}

json encode(const QuarantineLifted &lifted)
{
    return json::array({Tag::Lifted, lifted.id, encodeContents(lifted.contents), lifted.upstreams});
}

json encode(const QuarantineQuery &)
{
    return json::array({Tag::QuarantineQuery});
}

json encode(const TrialQuery &query)
{
    return json::array({Tag::TrialQuery, query.content.text()});
}

json encode(const TrialReply &reply)
{
    return json::array({Tag::TrialReply, reply.content.text(), reply.isGranted});
}

json encode(const TrialEnded &ended)
{
    return json::array({Tag::TrialEnded, ended.content.text()});
}

std::optional<ContentFingerprint> decodeContent(CborArrayReader &elements)
{
    return ContentFingerprint::fromText(elements.name(ContentFingerprint::maxTextSize));
}

std::optional<std::vector<ContentFingerprint>> decodeContents(CborArrayReader &elements)
{
    std::vector<ContentFingerprint> contents;
    const json &list = elements.list(Quarantine::maxContents);
    CborArrayReader texts(list);
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto content = decodeContent(texts);
        if (!content)
            return std::nullopt;
        contents.push_back(*content);
    }
    return texts.isFullyRead() && !contents.empty()
        ? std::optional<std::vector<ContentFingerprint>>(std::move(contents))
        : std::nullopt;
}

std::vector<UpstreamIncarnation> decodeUpstreams(CborArrayReader &elements)
{
    std::vector<UpstreamIncarnation> upstreams;
    const json &list = elements.list(Limits::upstreams);
    CborArrayReader numbers(list);
    for (std::size_t i = 0; i < list.size(); ++i)
        upstreams.push_back(numbers.number());
    if (!numbers.isFullyRead())
        elements.fail();
    return upstreams;
}

std::optional<Suspicion> decodeSuspicion(const json &value)
{
    CborArrayReader elements(value);
    const auto content = decodeContent(elements);
    const json &endings = elements.list(SuspicionTable::maxEndings);
    const bool wasAnswered = elements.boolean();
    if (!content || !elements.isFullyRead() || (endings.empty() && !wasAnswered))
        return std::nullopt;
    Suspicion suspicion{*content, {}, wasAnswered};
    for (const json &each : endings) {
        CborArrayReader fields(each);
        UpstreamEnding ending;
        ending.upstream = fields.number();
        ending.age = Millis(static_cast<std::int64_t>(fields.number(retentionMillis)));
        ending.isTrial = fields.boolean();
        if (!fields.isFullyRead())
            return std::nullopt;
        suspicion.endings.push_back(ending);
    }
    return suspicion;
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
    const auto content = decodeContent(message);
    if (!content)
        return std::nullopt;
    return SuspicionCleared{*content, decodeUpstreams(message)};
}

std::optional<Quarantine> decodeQuarantine(const json &value)
{
    CborArrayReader elements(value);
    auto contents = decodeContents(elements);
    Quarantine quarantine;
    quarantine.ended = decodeUpstreams(elements);
    quarantine.age = Millis(static_cast<std::int64_t>(elements.number(retentionMillis)));
    quarantine.remaining = Millis(static_cast<std::int64_t>(elements.number(retentionMillis)));
    if (!contents || !elements.isFullyRead())
        return std::nullopt;
    quarantine.contents = std::move(*contents);
    return quarantine;
}

std::optional<QuarantineMessage> decodeQuarantines(CborArrayReader &message)
{
    QuarantineAnnouncement announcement;
    announcement.isLast = message.boolean();
    for (const json &each : message.list(Limits::quarantines)) {
        auto quarantine = decodeQuarantine(each);
        if (!quarantine)
            return std::nullopt;
        announcement.quarantines.push_back(std::move(*quarantine));
    }
    return announcement;
}

std::optional<QuarantineMessage> decodeLifted(CborArrayReader &message)
{
    QuarantineLifted lifted;
    lifted.id = message.name(ContentFingerprint::maxTextSize);
    auto contents = decodeContents(message);
    if (!contents)
        return std::nullopt;
    lifted.contents = std::move(*contents);
    lifted.upstreams = decodeUpstreams(message);
    return lifted;
}

/** Decodes a message that consists of a content. */
template<typename Message>
std::optional<QuarantineMessage> decodeOfContent(CborArrayReader &message)
{
    const auto content = decodeContent(message);
    return content ? std::optional<QuarantineMessage>(Message{*content}) : std::nullopt;
}

std::optional<QuarantineMessage> decodeTrialReply(CborArrayReader &message)
{
    const auto content = decodeContent(message);
    if (!content)
        return std::nullopt;
    return TrialReply{*content, message.boolean()};
}

std::optional<QuarantineMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Announcement:
        return decodeAnnouncement(message);
    case Tag::Cleared:
        return decodeCleared(message);
    case Tag::Quarantines:
        return decodeQuarantines(message);
    case Tag::Lifted:
        return decodeLifted(message);
    case Tag::QuarantineQuery:
        return QuarantineQuery{};
    case Tag::TrialQuery:
        return decodeOfContent<TrialQuery>(message);
    case Tag::TrialReply:
        return decodeTrialReply(message);
    case Tag::TrialEnded:
        return decodeOfContent<TrialEnded>(message);
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

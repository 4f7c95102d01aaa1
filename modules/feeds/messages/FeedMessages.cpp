#include "feeds/messages/FeedMessages.h"

#include "membership/messages/CborArray.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;

/** Differs from the first element of every other message between gateways. */
constexpr std::uint64_t feedTag = 0x31;
/** How a frame with that tag begins: an array of six, a number of one byte. */
constexpr const char *feedStart = "\x86\x18\x31";
constexpr std::size_t feedStartBytes = 3;
constexpr std::size_t mostPathBytes = 512;
constexpr std::size_t elementsEach = 4;
constexpr std::size_t mostObjects = 1024;

constexpr std::uint64_t questionTag = 0x33;
/** An array of three, a number of one byte. */
constexpr const char *questionStart = "\x83\x18\x33";

constexpr std::uint64_t heartbeatTag = 0x32;
/** An array of seven, a number of one byte. */
constexpr const char *heartbeatStart = "\x87\x18\x32";
/** A standing that old confirms nothing; bounds what a damaged frame can say. */
constexpr std::uint64_t mostAgeMillis = 3600 * 1000;

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

} // namespace

std::optional<std::string> encodeFeedUpdate(const FeedUpdate &update)
{
    if (update.objects.size() > mostObjects)
        return std::nullopt;
    json objects = json::array();
    for (const StoreObject &object : update.objects) {
        objects.push_back(json::binary(bytesOf(object.path)));
        objects.push_back(json::binary(bytesOf(object.value)));
        objects.push_back(object.version);
        objects.push_back(object.removed);
    }
    std::string frame = encodeCbor(json::array(
        {feedTag, update.kind, update.from, update.to, update.isWhole, std::move(objects)}));
    if (frame.size() > FrameLimits::bytes)
        return std::nullopt;
    return frame;
}

std::optional<FeedUpdate> decodeFeedUpdate(const std::string &frame)
{
    // Most frames are about books; they are not decoded twice.
    if (frame.compare(0, feedStartBytes, feedStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    elements.number(feedTag);
    FeedUpdate update;
    update.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    update.from = elements.number();
    update.to = elements.number();
    update.isWhole = elements.boolean();
    CborArray objects(elements.list(mostObjects * elementsEach));
    while (objects.isGood() && !objects.isWhole()) {
        StoreObject object;
        object.path = objects.bytes(mostPathBytes);
        object.value = objects.bytes(FrameLimits::bytes);
        object.version = objects.number();
        object.removed = objects.boolean();
        update.objects.push_back(std::move(object));
    }
    return objects.isGood() && elements.isWhole() ? std::optional<FeedUpdate>(std::move(update))
                                                  : std::nullopt;
}

std::string encodeFeedQuestion(const FeedQuestion &question)
{
    return encodeCbor(json::array({questionTag, question.kind, question.seen}));
}

std::optional<FeedQuestion> decodeFeedQuestion(const std::string &frame)
{
    if (frame.compare(0, feedStartBytes, questionStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    elements.number(questionTag);
    FeedQuestion question;
    question.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    question.seen = elements.number();
    return elements.isWhole() ? std::optional<FeedQuestion>(question) : std::nullopt;
}

std::string encodeFeedHeartbeat(const FeedHeartbeat &heartbeat)
{
    json elements = json::array({heartbeatTag});
    for (const FeedStanding &standing : heartbeat.feeds) {
        const auto age =
            static_cast<std::uint64_t>(std::max<std::int64_t>(standing.age.count(), 0));
        elements.push_back(standing.seen);
        elements.push_back(standing.changedAt);
        elements.push_back(std::min(age, mostAgeMillis));
    }
    return encodeCbor(elements);
}

std::optional<FeedHeartbeat> decodeFeedHeartbeat(const std::string &frame)
{
    if (frame.compare(0, feedStartBytes, heartbeatStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    elements.number(heartbeatTag);
    FeedHeartbeat heartbeat;
    for (FeedStanding &standing : heartbeat.feeds) {
        standing.seen = elements.number();
        standing.changedAt = elements.number();
        standing.age = Millis(static_cast<std::int64_t>(elements.number(mostAgeMillis)));
    }
    return elements.isWhole() ? std::optional<FeedHeartbeat>(heartbeat) : std::nullopt;
}

} // namespace cuminrail

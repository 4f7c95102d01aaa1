#include "feeds/messages/FeedMessages.h"

#include "feeds/messages/Deflate.h"
#include "membership/messages/CborArray.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;

/** Tags differ from the first element of every other message between gateways. */
constexpr std::uint64_t feedTag = 0x35;
constexpr std::uint64_t deliveryTag = 0x36;
/** How a frame with that tag begins: an array of three, a number of one byte. */
constexpr const char *deliveryStart = "\x83\x18\x36";
constexpr std::size_t feedStartBytes = 3;
constexpr std::size_t mostPathBytes = 512;
constexpr std::size_t elementsEach = 4;
constexpr std::size_t mostObjects = 4096;
constexpr std::size_t mostPlainBytes = 4U << 20U;
/** Leaves room in a frame for the receivers. */
constexpr std::size_t mostUpdateBytes = FrameLimits::bytes - 16 * 1024;
constexpr std::size_t mostAddressBytes = 24;

constexpr std::uint64_t questionTag = 0x33;
/** An array of three, a number of one byte. */
constexpr const char *questionStart = "\x83\x18\x33";

constexpr std::uint64_t heartbeatTag = 0x37;
/** An array of nine, a number of one byte. */
constexpr const char *heartbeatStart = "\x89\x18\x37";
/** A standing that old confirms nothing; bounds what a damaged frame can say. */
constexpr std::uint64_t mostAgeMillis = 3600 * 1000;

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

bool takeObjects(const json &array, std::vector<StoreObject> &taken)
{
    CborArray objects(array);
    while (objects.isGood() && !objects.isWhole()) {
        StoreObject object;
        object.path = objects.bytes(mostPathBytes);
        object.value = objects.bytes(mostPlainBytes);
        object.version = objects.number();
        object.removed = objects.boolean();
        taken.push_back(std::move(object));
    }
    return objects.isGood();
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
    const std::string plain = encodeCbor(objects);
    if (plain.size() > mostPlainBytes)
        return std::nullopt;
    // Entries repeat their fields' names and most values; packed they take an eighth.
    std::string encoded =
        encodeCbor(json::array({feedTag, update.kind, update.from, update.to, update.isWhole,
                                plain.size(), json::binary(bytesOf(deflated(plain)))}));
    if (encoded.size() > mostUpdateBytes)
        return std::nullopt;
    return encoded;
}

std::optional<FeedUpdate> decodeFeedUpdate(const std::string &encoded)
{
    const auto value = decodeCbor(encoded);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    if (elements.number() != feedTag)
        return std::nullopt;
    FeedUpdate update;
    update.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    update.from = elements.number();
    update.to = elements.number();
    update.isWhole = elements.boolean();
    const auto plainBytes = static_cast<std::size_t>(elements.number(mostPlainBytes));
    const std::string packed = elements.bytes(mostUpdateBytes);
    if (!elements.isWhole())
        return std::nullopt;
    const auto plain = inflated(packed, plainBytes);
    const auto objects =
        plain ? decodeCbor(*plain, {mostPlainBytes, mostObjects * elementsEach + 1}) : std::nullopt;
    if (!objects || !takeObjects(*objects, update.objects))
        return std::nullopt;
    return update;
}

std::string encodeFeedDelivery(const FeedDelivery &delivery)
{
    return encodeCbor(
        json::array({deliveryTag, json::binary(bytesOf(delivery.update)), delivery.passOnTo}));
}

std::optional<FeedDelivery> decodeFeedDelivery(const std::string &frame)
{
    // Most frames are about books; they are not decoded twice.
    if (frame.compare(0, feedStartBytes, deliveryStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    elements.number(deliveryTag);
    FeedDelivery delivery;
    delivery.update = elements.bytes(mostUpdateBytes);
    CborArray receivers(elements.list(FeedDelivery::mostReceivers));
    while (receivers.isGood() && !receivers.isWhole())
        delivery.passOnTo.push_back(receivers.name(mostAddressBytes));
    if (!receivers.isGood() || !elements.isWhole())
        return std::nullopt;
    return delivery;
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
        elements.push_back(standing.isRefused);
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
        standing.isRefused = elements.boolean();
    }
    return elements.isWhole() ? std::optional<FeedHeartbeat>(heartbeat) : std::nullopt;
}

} // namespace cuminrail

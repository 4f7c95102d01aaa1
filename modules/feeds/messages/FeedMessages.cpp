#include "feeds/messages/FeedMessages.h"

#include "feeds/messages/Deflate.h"
#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;

/** Tags differ from the first element of every other message between gateways. */
constexpr std::uint64_t updateTag = 0x35;
constexpr std::uint64_t deliveryTag = 0x36;
/** Encoded start of a frame with that tag: an array of three, a one-byte number. */
constexpr const char *deliveryStart = "\x83\x18\x36";
constexpr std::size_t startBytes = 3;
constexpr std::size_t maxPathBytes = 512;
constexpr std::size_t elementsPerObject = 4;
constexpr std::size_t maxObjects = 4096;
constexpr std::size_t maxPlainBytes = 4U << 20U;
/** Leaves room in a frame for the addresses of receivers. */
constexpr std::size_t maxUpdateBytes = FrameLimits::bytes - 16 * 1024;
constexpr std::size_t maxAddressBytes = 24;

constexpr std::uint64_t queryTag = 0x33;
/** Encoded start: an array of three, a one-byte number. */
constexpr const char *queryStart = "\x83\x18\x33";

constexpr std::uint64_t heartbeatTag = 0x37;
/** Encoded start: an array of nine, a one-byte number. */
constexpr const char *heartbeatStart = "\x89\x18\x37";
/** Bounds the age that a damaged frame can state; a status this old confirms nothing. */
constexpr std::uint64_t maxAgeMillis = 3600 * 1000;

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

bool decodeObjects(const json &array, std::vector<StoreObject> &decoded)
{
    CborArrayReader objects(array);
    while (objects.isValid() && !objects.isFullyRead()) {
        StoreObject object;
        object.path = objects.bytes(maxPathBytes);
        object.value = objects.bytes(maxPlainBytes);
        object.version = objects.number();
        object.removed = objects.boolean();
        decoded.push_back(std::move(object));
    }
    return objects.isValid();
}

} // namespace

std::optional<std::string> encodeFeedUpdate(const FeedUpdate &update)
{
    if (update.objects.size() > maxObjects)
        return std::nullopt;
    json objects = json::array();
    for (const StoreObject &object : update.objects) {
        objects.push_back(json::binary(bytesOf(object.path)));
        objects.push_back(json::binary(bytesOf(object.value)));
        objects.push_back(object.version);
        objects.push_back(object.removed);
    }
    const std::string plain = encodeCbor(objects);
    if (plain.size() > maxPlainBytes)
        return std::nullopt;
    // Entries repeat the names of their fields and most values; compression reduces them to an
    // eighth.
    std::string encoded =
        encodeCbor(json::array({updateTag, update.kind, update.from, update.to, update.isWhole,
                                plain.size(), json::binary(bytesOf(deflated(plain)))}));
    if (encoded.size() > maxUpdateBytes)
        return std::nullopt;
    return encoded;
}

std::optional<FeedUpdate> decodeFeedUpdate(const std::string &encoded)
{
    const auto value = decodeCbor(encoded);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    if (elements.number() != updateTag)
        return std::nullopt;
    FeedUpdate update;
    update.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    update.from = elements.number();
    update.to = elements.number();
    update.isWhole = elements.boolean();
    const auto plainBytes = static_cast<std::size_t>(elements.number(maxPlainBytes));
    const std::string compressed = elements.bytes(maxUpdateBytes);
    if (!elements.isFullyRead())
        return std::nullopt;
    const auto plain = inflated(compressed, plainBytes);
    const auto objects = plain
        ? decodeCbor(*plain, {maxPlainBytes, maxObjects * elementsPerObject + 1})
        : std::nullopt;
    if (!objects || !decodeObjects(*objects, update.objects))
        return std::nullopt;
    return update;
}

std::string encodeFeedDelivery(const FeedDelivery &delivery)
{
    return encodeCbor(
        json::array({deliveryTag, json::binary(bytesOf(delivery.update)), delivery.forwardTo}));
}

std::optional<FeedDelivery> decodeFeedDelivery(const std::string &frame)
{
    // Most frames carry other messages; the check of the first bytes avoids decoding each of those
    // twice.
    if (frame.compare(0, startBytes, deliveryStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(deliveryTag);
    FeedDelivery delivery;
    delivery.update = elements.bytes(maxUpdateBytes);
    CborArrayReader receivers(elements.list(FeedDelivery::maxReceivers));
    while (receivers.isValid() && !receivers.isFullyRead())
        delivery.forwardTo.push_back(receivers.name(maxAddressBytes));
    if (!receivers.isValid() || !elements.isFullyRead())
        return std::nullopt;
    return delivery;
}

std::string encodeFeedQuery(const FeedQuery &query)
{
    return encodeCbor(json::array({queryTag, query.kind, query.seen}));
}

std::optional<FeedQuery> decodeFeedQuery(const std::string &frame)
{
    if (frame.compare(0, startBytes, queryStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(queryTag);
    FeedQuery query;
    query.kind = static_cast<FeedKind>(elements.number(feedKinds - 1));
    query.seen = elements.number();
    return elements.isFullyRead() ? std::optional<FeedQuery>(query) : std::nullopt;
}

std::string encodeFeedHeartbeat(const FeedHeartbeat &heartbeat)
{
    json elements = json::array({heartbeatTag});
    for (const FeedStatus &feedStatus : heartbeat.feeds) {
        const auto age =
            static_cast<std::uint64_t>(std::max<std::int64_t>(feedStatus.age.count(), 0));
        elements.push_back(feedStatus.seen);
        elements.push_back(feedStatus.changedAt);
        elements.push_back(std::min(age, maxAgeMillis));
        elements.push_back(feedStatus.isRefused);
    }
    return encodeCbor(elements);
}

std::optional<FeedHeartbeat> decodeFeedHeartbeat(const std::string &frame)
{
    if (frame.compare(0, startBytes, heartbeatStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(heartbeatTag);
    FeedHeartbeat heartbeat;
    for (FeedStatus &feedStatus : heartbeat.feeds) {
        feedStatus.seen = elements.number();
        feedStatus.changedAt = elements.number();
        feedStatus.age = Millis(static_cast<std::int64_t>(elements.number(maxAgeMillis)));
        feedStatus.isRefused = elements.boolean();
    }
    return elements.isFullyRead() ? std::optional<FeedHeartbeat>(heartbeat) : std::nullopt;
}

} // namespace cuminrail

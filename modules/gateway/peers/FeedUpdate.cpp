#include "gateway/peers/FeedUpdate.h"

#include "membership/messages/CborArray.h"

namespace cuminrail {

namespace {

using nlohmann::json;

/** Differs from the first element of every other message between gateways. */
constexpr std::uint64_t feedTag = 0x31;
/** How a frame with that tag begins: an array of five, a number of one byte. */
constexpr const char *feedStart = "\x85\x18\x31";
constexpr std::size_t feedStartBytes = 3;
constexpr std::size_t mostPathBytes = 512;
constexpr std::size_t elementsEach = 4;
constexpr std::size_t mostObjects = 1024;

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
    std::string frame =
        encodeCbor(json::array({feedTag, update.kind, update.from, update.to, std::move(objects)}));
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
    update.kind = static_cast<FeedKind>(elements.number(1));
    update.from = elements.number();
    update.to = elements.number();
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

} // namespace cuminrail

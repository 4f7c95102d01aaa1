#include "configsync/messages/ConfigCodec.h"

#include "membership/messages/CborArrayReader.h"
#include "membership/messages/FrameChannel.h"

namespace cuminrail {

namespace {

using Json = nlohmann::json;

enum class MessageCode : std::uint8_t {
    HeadRequest = 1,
    HeadReply = 2,
    ContentRequest = 3,
    ContentChunk = 4,
};

constexpr std::size_t kHashDigits = 64;

Json head(MessageCode code)
{
    return Json::array({std::uint64_t(FrameChannel::ConfigSync), std::uint64_t(code)});
}

Json toJson(const HeadRequestMessage &message)
{
    Json json = head(MessageCode::HeadRequest);
    json.push_back(message.from);
    return json;
}

Json toJson(const HeadReplyMessage &message)
{
    Json json = head(MessageCode::HeadReply);
    json.push_back(message.from);
    json.push_back(message.generation);
    json.push_back(message.sha256);
    return json;
}

Json toJson(const ContentRequestMessage &message)
{
    Json json = head(MessageCode::ContentRequest);
    json.push_back(message.from);
    json.push_back(message.sha256);
    json.push_back(message.offset);
    return json;
}

Json toJson(const ContentChunkMessage &message)
{
    Json json = head(MessageCode::ContentChunk);
    json.push_back(message.sha256);
    json.push_back(message.offset);
    json.push_back(message.total);
    json.push_back(Json::binary({message.bytes.begin(), message.bytes.end()}));
    return json;
}

std::string readHash(CborArrayReader &array)
{
    std::string text = array.name(kHashDigits);
    if (text.size() != kHashDigits
        || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        array.fail();
    return text;
}

ConfigMessage readBody(MessageCode code, CborArrayReader &array)
{
    switch (code) {
    case MessageCode::HeadRequest:
        return HeadRequestMessage{array.name(ConfigMessageLimits::address)};
    case MessageCode::HeadReply: {
        HeadReplyMessage message;
        message.from = array.name(ConfigMessageLimits::address);
        message.generation = array.number();
        message.sha256 = readHash(array);
        return message;
    }
    case MessageCode::ContentRequest: {
        ContentRequestMessage message;
        message.from = array.name(ConfigMessageLimits::address);
        message.sha256 = readHash(array);
        message.offset = array.number(ConfigMessageLimits::contentBytes);
        return message;
    }
    case MessageCode::ContentChunk: {
        ContentChunkMessage message;
        message.sha256 = readHash(array);
        message.offset = array.number(ConfigMessageLimits::contentBytes);
        message.total = array.number(ConfigMessageLimits::contentBytes);
        message.bytes = array.bytes(ConfigMessageLimits::chunkBytes);
        return message;
    }
    }
    array.fail();
    return HeadRequestMessage();
}

} // namespace

std::string encodeConfig(const ConfigMessage &message)
{
    return encodeCbor(std::visit([](const auto &typed) { return toJson(typed); }, message));
}

std::optional<ConfigMessage> decodeConfig(const std::string &frame)
{
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader array(*value);
    const std::uint64_t channel = array.number();
    const auto code = MessageCode(array.number(std::uint64_t(MessageCode::ContentChunk)));
    ConfigMessage message = readBody(code, array);
    if (channel != std::uint64_t(FrameChannel::ConfigSync) || !array.isFullyRead())
        return std::nullopt;
    return message;
}

} // namespace cuminrail

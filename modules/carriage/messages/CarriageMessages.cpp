#include "carriage/messages/CarriageMessages.h"

#include "core/http/HttpStatus.h"
#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = CarriageLimits;

/** First element of each frame. Frames of another format are rejected. */
enum class Tag : std::uint8_t {
    Query = 0x81,
    Status = 0x82,
    Open = 0x83,
    Chunk = 0x84,
    Credit = 0x85,
    Head = 0x86,
    End = 0x87,
    Cancel = 0x88,
};

json binary(const std::string &text)
{
    return json::binary({text.begin(), text.end()});
}

std::uint64_t number(Millis span)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(span.count(), 0, Limits::millis));
}

/** Optional numbers travel as a list of none or one. */
json optionalNumber(std::optional<std::uint64_t> value)
{
    return value ? json::array({*value}) : json::array();
}

std::optional<std::uint64_t> readOptional(CborArrayReader &message, std::uint64_t maximum)
{
    const json &list = message.list(1);
    if (list.empty())
        return std::nullopt;
    CborArrayReader elements(list);
    const std::uint64_t value = elements.number(maximum);
    if (!elements.isFullyRead())
        message.fail();
    return value;
}

json encodeFields(const std::vector<CarriedField> &fields)
{
    json list = json::array();
    for (const CarriedField &field : fields)
        list.push_back(json::array({binary(field.name), binary(field.value)}));
    return list;
}

std::vector<CarriedField> readFields(CborArrayReader &message)
{
    std::vector<CarriedField> fields;
    for (const json &each : message.list(Limits::fields)) {
        CborArrayReader elements(each);
        CarriedField field;
        field.name = elements.bytes(Limits::text);
        field.value = elements.bytes(Limits::text);
        if (!elements.isFullyRead())
            message.fail();
        fields.push_back(std::move(field));
    }
    return fields;
}

json encode(const CarrierQuery &)
{
    return json::array({Tag::Query});
}

json encode(const CarrierStatus &status)
{
    return json::array({Tag::Status, status.canCarry});
}

json encode(const CarriedOpen &open)
{
    return json::array({Tag::Open, open.call, binary(open.customer), binary(open.method),
                        binary(open.target), encodeFields(open.fields), open.bodyBytes,
                        number(open.timeLeft), open.attempts, open.isFirstSendCounted,
                        open.isRepeat, open.isRunCounted, optionalNumber(open.resumeAfter)});
}

json encode(const CarriedChunk &chunk)
{
    return json::array(
        {Tag::Chunk, chunk.call, chunk.isResponse, chunk.offset, binary(chunk.data)});
}

json encode(const CarriedCredit &credit)
{
    return json::array({Tag::Credit, credit.call, credit.isResponse, credit.taken});
}

json encode(const CarriedHead &head)
{
    return json::array(
        {Tag::Head, head.call, head.status, head.isStream, encodeFields(head.fields)});
}

json encode(const CarriedEnd &end)
{
    std::optional<std::uint64_t> retryAfter;
    if (end.retryAfter)
        retryAfter = number(*end.retryAfter);
    return json::array({Tag::End, end.call, end.result, end.bytes, end.sends,
                        optionalNumber(retryAfter), binary(end.reason)});
}

json encode(const CarriedCancel &cancel)
{
    return json::array({Tag::Cancel, cancel.call});
}

CarriedOpen readOpen(CborArrayReader &message)
{
    CarriedOpen open;
    open.call = message.number();
    open.customer = message.bytes(Limits::text);
    open.method = message.bytes(Limits::text);
    open.target = message.bytes(Limits::text);
    open.fields = readFields(message);
    open.bodyBytes = message.number(Limits::body);
    open.timeLeft = Millis(static_cast<std::int64_t>(message.number(Limits::millis)));
    open.attempts = static_cast<std::uint32_t>(message.number(UINT32_MAX));
    open.isFirstSendCounted = message.boolean();
    open.isRepeat = message.boolean();
    open.isRunCounted = message.boolean();
    open.resumeAfter = readOptional(message, UINT64_MAX);
    return open;
}

CarriedChunk readChunk(CborArrayReader &message)
{
    CarriedChunk chunk;
    chunk.call = message.number();
    chunk.isResponse = message.boolean();
    chunk.offset = message.number(Limits::body);
    chunk.data = message.bytes(Limits::chunk);
    return chunk;
}

CarriedCredit readCredit(CborArrayReader &message)
{
    CarriedCredit credit;
    credit.call = message.number();
    credit.isResponse = message.boolean();
    credit.taken = message.number(Limits::body);
    return credit;
}

CarriedHead readHead(CborArrayReader &message)
{
    CarriedHead head;
    head.call = message.number();
    head.status = static_cast<std::uint16_t>(message.number(maxHttpStatus));
    if (!isFinalHttpStatus(head.status))
        message.fail();
    head.isStream = message.boolean();
    head.fields = readFields(message);
    return head;
}

CarriedEnd readEnd(CborArrayReader &message)
{
    CarriedEnd end;
    end.call = message.number();
    end.result =
        static_cast<CarriedResult>(message.number(std::uint64_t(CarriedResult::Truncated)));
    end.bytes = message.number(Limits::body);
    end.sends = static_cast<std::uint32_t>(message.number(UINT32_MAX));
    if (const auto retryAfter = readOptional(message, Limits::millis))
        end.retryAfter = Millis(static_cast<std::int64_t>(*retryAfter));
    end.reason = message.bytes(Limits::text);
    return end;
}

std::optional<CarriageMessage> readMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Query:
        return CarrierQuery{};
    case Tag::Status:
        return CarrierStatus{message.boolean()};
    case Tag::Open:
        return readOpen(message);
    case Tag::Chunk:
        return readChunk(message);
    case Tag::Credit:
        return readCredit(message);
    case Tag::Head:
        return readHead(message);
    case Tag::End:
        return readEnd(message);
    case Tag::Cancel:
        return CarriedCancel{message.number()};
    }
    return std::nullopt;
}

} // namespace

std::string encodeCarriage(const CarriageMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<CarriageMessage> decodeCarriage(const std::string &frame)
{
    return decodeFrame(frame, readMessage);
}

} // namespace cuminrail

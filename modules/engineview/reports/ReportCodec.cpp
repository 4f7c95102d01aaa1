#include "engineview/reports/ReportCodec.h"

#include "membership/messages/CborArrayReader.h"
#include "membership/messages/FrameChannel.h"

#include <algorithm>
#include <cstddef>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t reportBytes = 14;
constexpr std::int64_t ageUnit = 10;
constexpr std::uint64_t maxAge = 0xffff;
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxNames = 256;

void appendNumber(std::string &bytes, std::uint64_t number, std::size_t width)
{
    for (std::size_t position = width; position-- > 0;)
        bytes.push_back(static_cast<char>(number >> (8 * position)));
}

std::uint64_t readNumber(const std::string &bytes, std::size_t &position, std::size_t width)
{
    std::uint64_t number = 0;
    for (std::size_t index = 0; index < width; ++index)
        number = (number << 8) | static_cast<unsigned char>(bytes[position++]);
    return number;
}

void appendReport(std::string &bytes, const EngineReport &report, Millis now)
{
    const std::int64_t age = std::max<std::int64_t>(0, (now - report.sampledAt).count());
    appendNumber(bytes, report.engine, 4);
    appendNumber(bytes, report.facts, 4);
    appendNumber(bytes, report.running, 2);
    appendNumber(bytes, report.waiting, 2);
    appendNumber(bytes, std::min<std::uint64_t>(maxAge, age / ageUnit), 2);
}

EngineReport readReport(const std::string &bytes, std::size_t &position, Millis now)
{
    EngineReport report;
    report.engine = static_cast<EngineKey>(readNumber(bytes, position, 4));
    report.facts = static_cast<std::uint32_t>(readNumber(bytes, position, 4));
    report.running = static_cast<std::uint16_t>(readNumber(bytes, position, 2));
    report.waiting = static_cast<std::uint16_t>(readNumber(bytes, position, 2));
    report.sampledAt =
        now - Millis(static_cast<std::int64_t>(readNumber(bytes, position, 2)) * ageUnit);
    return report;
}

Json encodeFacts(const EngineState &state)
{
    return Json::array({state.engine.text(), state.incarnation, static_cast<int>(state.role),
                        state.models, state.adapters});
}

std::vector<std::string> readNames(CborArrayReader &array)
{
    std::vector<std::string> names;
    CborArrayReader list(array.list(maxNames));
    while (list.isValid() && !list.isFullyRead())
        names.push_back(list.name(maxNameBytes));
    if (!list.isValid())
        array.fail();
    return names;
}

std::optional<EngineState> decodeFacts(const Json &json)
{
    CborArrayReader array(json);
    EngineState state;
    state.engine = UpstreamId(array.name(maxNameBytes));
    state.incarnation = array.number();
    state.role = static_cast<EngineRole>(array.number(static_cast<int>(EngineRole::None)));
    state.models = readNames(array);
    state.adapters = readNames(array);
    if (!array.isFullyRead())
        return std::nullopt;
    return state;
}

bool decodeReports(CborArrayReader &array, ReportMessage &message, Millis now)
{
    const std::string bytes = array.bytes(maxReportsPerFrame * reportBytes);
    if (!array.isFullyRead() || bytes.size() % reportBytes != 0)
        return false;
    for (std::size_t position = 0; position < bytes.size();)
        message.reports.push_back(readReport(bytes, position, now));
    return true;
}

bool decodeWanted(CborArrayReader &array, ReportMessage &message)
{
    CborArrayReader list(array.list(maxReportsPerFrame));
    while (list.isValid() && !list.isFullyRead())
        message.wanted.push_back(static_cast<EngineKey>(list.number(UINT32_MAX)));
    return list.isFullyRead() && array.isFullyRead();
}

bool decodeAllFacts(CborArrayReader &array, ReportMessage &message)
{
    for (const Json &item : array.list(maxFactsPerFrame)) {
        const auto state = decodeFacts(item);
        if (!state)
            return false;
        message.facts.push_back(*state);
    }
    return array.isFullyRead();
}

} // namespace

std::string encodeReportMessage(const ReportMessage &message, Millis now)
{
    Json json = Json::array(
        {static_cast<int>(FrameChannel::EngineReports), static_cast<int>(message.kind)});
    switch (message.kind) {
    case ReportMessageKind::Reports: {
        std::string bytes;
        bytes.reserve(message.reports.size() * reportBytes);
        for (const EngineReport &report : message.reports)
            appendReport(bytes, report, now);
        json.push_back(Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end())));
        break;
    }
    case ReportMessageKind::FactsWanted:
        json.push_back(message.wanted);
        break;
    case ReportMessageKind::Facts: {
        Json list = Json::array();
        for (const EngineState &state : message.facts)
            list.push_back(encodeFacts(state));
        json.push_back(std::move(list));
        break;
    }
    }
    return encodeCbor(json);
}

std::optional<ReportMessage> decodeReportMessage(const std::string &frame, Millis now)
{
    const auto json = decodeCbor(frame);
    if (!json || !json->is_array())
        return std::nullopt;
    CborArrayReader array(*json);
    array.number(static_cast<int>(FrameChannel::EngineReports));
    const std::uint64_t kind = array.number(static_cast<int>(ReportMessageKind::Facts));
    ReportMessage message;
    message.kind = static_cast<ReportMessageKind>(kind);
    bool isGood = array.isValid();
    if (message.kind == ReportMessageKind::Reports)
        isGood = isGood && decodeReports(array, message, now);
    else if (message.kind == ReportMessageKind::FactsWanted)
        isGood = isGood && decodeWanted(array, message);
    else if (message.kind == ReportMessageKind::Facts)
        isGood = isGood && decodeAllFacts(array, message);
    else
        isGood = false;
    if (!isGood)
        return std::nullopt;
    return message;
}

} // namespace cuminrail

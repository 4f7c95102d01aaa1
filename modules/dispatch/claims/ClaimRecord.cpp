#include "dispatch/claims/ClaimRecord.h"

#include "core/http/HttpStatus.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

/** Encodes bytes as Unicode for JSON: each byte becomes the code point of the same number. */
std::string bytesToText(const std::string &bytes)
{
    constexpr unsigned char firstNonAscii = 0x80;
    std::string text;
    text.reserve(bytes.size());
    for (const char letter : bytes) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < firstNonAscii) {
            text.push_back(letter);
        } else {
            text.push_back(static_cast<char>(0xc0 | (byte >> 6)));
            text.push_back(static_cast<char>(0x80 | (byte & 0x3f)));
        }
    }
    return text;
}

std::string textToBytes(const std::string &text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto lead = static_cast<unsigned char>(text[index]);
        const bool isPair = (lead & 0xfe) == 0xc2 && index + 1 < text.size();
        if (!isPair) {
            bytes.push_back(text[index]);
            continue;
        }
        const auto trail = static_cast<unsigned char>(text[++index]);
        bytes.push_back(static_cast<char>(((lead & 0x03) << 6) | (trail & 0x3f)));
    }
    return bytes;
}

Json responseToJson(const StoredResponse &response)
{
    return {{"status", response.status},
            {"content_type", bytesToText(response.contentType)},
            {"body", bytesToText(response.body)},
            {"complete", response.complete}};
}

StoredResponse responseFromJson(const Json &json)
{
    StoredResponse response;
    response.status = json.at("status").get<unsigned>();
    response.contentType = textToBytes(json.at("content_type").get<std::string>());
    response.body = textToBytes(json.at("body").get<std::string>());
    response.complete = json.at("complete").get<bool>();
    return response;
}

} // namespace

std::string ClaimRecord::toText() const
{
    Json json = {{"state", claimStateNames.name(state)},
                 {"token", token},
                 {"instance", instance.text()},
                 {"incarnation", incarnation},
                 {"request_sha256", requestSha256}};
    if (state == ClaimState::Done)
        json["answer"] = responseToJson(response);
    return json.dump();
}

std::optional<ClaimRecord> ClaimRecord::fromText(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        ClaimRecord record;
        const auto state = claimStateNames.value(json.at("state").get<std::string>());
        if (!state) {
            fail(lastReason, "/state", "is not a state of a claim");
            return std::nullopt;
        }
        record.state = *state;
        record.token = json.at("token").get<std::string>();
        record.instance = InstanceId(json.at("instance").get<std::string>());
        record.incarnation = json.at("incarnation").get<Incarnation>();
        record.requestSha256 = json.at("request_sha256").get<std::string>();
        if (record.state == ClaimState::Done) {
            record.response = responseFromJson(json.at("answer"));
            if (!isFinalHttpStatus(record.response.status)) {
                fail(lastReason, "/answer/status", "is not the status of a final response");
                return std::nullopt;
            }
        }
        return record;
    } catch (const Json::exception &error) {
        fail(lastReason, "claim", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

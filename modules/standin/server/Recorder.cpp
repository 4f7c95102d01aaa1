#include "standin/server/Recorder.h"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

namespace cuminrail::standin {

namespace {

nlohmann::json recordToJson(const Record &record)
{
    nlohmann::json headers = nlohmann::json::object();
    for (const auto &[name, value] : record.headers) {
        if (headers.contains(name))
            headers[name] = headers[name].get<std::string>() + ", " + value;
        else
            headers[name] = value;
    }
    return {{"number", record.number},
            {"at_ms", record.atMs},
            {"connection", record.connection},
            {"method", record.method},
            {"target", record.target},
            {"headers", std::move(headers)},
            {"body", record.body},
            {"body_sha256", record.bodySha256},
            {"status", record.status},
            {"ending", endingNames.name(record.ending)},
            {"ran", record.ran},
            {"note", record.note}};
}

} // namespace

std::string Record::header(const std::string &name) const
{
    for (const auto &entry : headers) {
        if (entry.first == name)
            return entry.second;
    }
    return {};
}

Record &Recorder::add(Record record)
{
    if (!enabled_) {
        scratch_ = std::move(record);
        return scratch_;
    }
    record.number = records_.size();
    record.bodySha256 = sha256Hex(record.body);
    records_.push_back(std::move(record));
    return records_.back();
}

nlohmann::json Recorder::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Record &record : records_)
        list.push_back(recordToJson(record));
    return {{"records", std::move(list)}};
}

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

} // namespace cuminrail::standin

#include "lease/record/LeaseRecord.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

using Json = nlohmann::json;

std::string LeaseRecord::toText() const
{
    return Json{{"holder", holder.text()},
                {"incarnation", incarnation},
                {"fence", fence},
                {"term_ms", term.count()},
                {"token", token}}
        .dump();
}

std::optional<LeaseRecord> LeaseRecord::fromText(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        fail(lastReason, "lease", "no JSON object");
        return std::nullopt;
    }
    try {
        LeaseRecord record;
        record.holder = InstanceId(json.at("holder").get<std::string>());
        record.incarnation = json.at("incarnation").get<Incarnation>();
        record.fence = json.at("fence").get<FenceNumber>();
        record.term = Millis(json.at("term_ms").get<std::int64_t>());
        record.token = json.at("token").get<std::string>();
        return record;
    } catch (const Json::exception &error) {
        fail(lastReason, "lease", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

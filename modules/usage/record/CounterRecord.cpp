#include "usage/record/CounterRecord.h"

#include "usage/record/UsageJson.h"

namespace cuminrail {

using Json = nlohmann::json;

const CustomerUsage &CounterRecord::atEndOf(WindowIndex ended) const
{
    return window > ended ? atWindowStart : total;
}

const CustomerUsage &CounterRecord::atBeginOf(WindowIndex begun) const
{
    if (window > begun)
        return atPreviousStart;
    return window == begun ? atWindowStart : total;
}

std::string CounterRecord::toText() const
{
    return Json{{"window", window},
                {"total", detail::usageToJson(total)},
                {"at_window_start", detail::usageToJson(atWindowStart)},
                {"at_previous_start", detail::usageToJson(atPreviousStart)},
                {"final", isFinal}}
        .dump();
}

std::optional<CounterRecord> CounterRecord::fromText(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        fail(lastReason, "usage counters", "no JSON object");
        return std::nullopt;
    }
    try {
        CounterRecord record;
        record.window = json.at("window").get<WindowIndex>();
        record.total = detail::usageFromJson(json.at("total"));
        record.atWindowStart = detail::usageFromJson(json.at("at_window_start"));
        record.atPreviousStart = detail::usageFromJson(json.at("at_previous_start"));
        record.isFinal = json.at("final").get<bool>();
        return record;
    } catch (const Json::exception &error) {
        fail(lastReason, "usage counters", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

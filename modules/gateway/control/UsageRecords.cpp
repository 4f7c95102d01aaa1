#include "gateway/control/UsageRecords.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail {

using Json = nlohmann::json;

void mergeLedger(LedgerRecord &into, const LedgerRecord &other)
{
    into.completeThrough = std::max(into.completeThrough, other.completeThrough);
    for (const auto &[window, counts] : other.windows) {
        for (const auto &[customer, count] : counts) {
            std::uint64_t &known = into.windows[window][customer];
            known = std::max(known, count);
        }
    }
}

std::string encodeLedger(const LedgerRecord &record)
{
    Json windows = Json::object();
    for (const auto &[window, counts] : record.windows)
        windows[std::to_string(window)] = counts;
    return Json{{"complete_through", record.completeThrough}, {"windows", windows}}.dump();
}

std::optional<LedgerRecord> decodeLedger(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        LedgerRecord record;
        record.completeThrough = json.at("complete_through").get<std::int64_t>();
        for (const auto &[window, counts] : json.at("windows").items())
            record.windows[std::stoll(window)] = counts.get<CustomerCounts>();
        return record;
    } catch (const std::exception &error) {
        fail(lastReason, "ledger", error.what());
        return std::nullopt;
    }
}

std::string encodeSeal(const CustomerCounts &counts)
{
    return Json(counts).dump();
}

std::optional<CustomerCounts> decodeSeal(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        return json.get<CustomerCounts>();
    } catch (const Json::exception &error) {
        fail(lastReason, "seal", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

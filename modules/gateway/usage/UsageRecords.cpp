#include "gateway/usage/UsageRecords.h"

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

namespace {

Json toJson(const LedgerRecord &record)
{
    Json windows = Json::object();
    for (const auto &[window, counts] : record.windows)
        windows[std::to_string(window)] = counts;
    return Json{{"complete_through", record.completeThrough}, {"windows", windows}};
}

LedgerRecord fromJson(const Json &json)
{
    LedgerRecord record;
    record.completeThrough = json.at("complete_through").get<std::int64_t>();
    for (const auto &[window, counts] : json.at("windows").items())
        record.windows[std::stoll(window)] = counts.get<CustomerCounts>();
    return record;
}

} // namespace

std::string encodeLedger(const LedgerRecord &record)
{
    return toJson(record).dump();
}

std::optional<LedgerRecord> decodeLedger(const std::string &text, Reason *lastReason)
{
    try {
        return fromJson(Json::parse(text, nullptr, false));
    } catch (const std::exception &error) {
        fail(lastReason, "ledger", error.what());
        return std::nullopt;
    }
}

std::string encodeLedgers(const Ledgers &ledgers)
{
    Json owners = Json::object();
    for (const auto &[owner, record] : ledgers)
        owners[owner] = toJson(record);
    return owners.dump();
}

std::optional<Ledgers> decodeLedgers(const std::string &text, Reason *lastReason)
{
    const Json owners = Json::parse(text, nullptr, false);
    if (!owners.is_object()) {
        fail(lastReason, "ledgers", "are not a JSON object");
        return std::nullopt;
    }
    Ledgers ledgers;
    try {
        for (const auto &[owner, record] : owners.items())
            ledgers[owner] = fromJson(record);
    } catch (const std::exception &error) {
        fail(lastReason, "ledgers", error.what());
        return std::nullopt;
    }
    return ledgers;
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

#include "usage/record/SealedWindow.h"

#include "usage/record/UsageJson.h"

namespace cuminrail {

using Json = nlohmann::json;

namespace {

Json countersToJson(const UsageCounters &figures)
{
    return Json{{"prompt_tokens", figures.promptTokens},
                {"output_tokens", figures.outputTokens},
                {"requests", figures.requests},
                {"reclaimable_tokens", figures.reclaimableTokens}};
}

Json carryToJson(const UsageCarry &carry)
{
    Json folded = Json::object();
    for (const auto &[name, counters] : carry.folded)
        folded[name] = {{"total", detail::usageToJson(counters.total)},
                        {"last_seen", counters.lastSeen}};
    return Json{{"reported_total", detail::usageToJson(carry.reportedTotal)},
                {"folded_total", detail::usageToJson(carry.foldedTotal)},
                {"folded", folded}};
}

UsageCarry carryFromJson(const Json &json)
{
    UsageCarry carry;
    carry.reportedTotal = detail::usageFromJson(json.at("reported_total"));
    carry.foldedTotal = detail::usageFromJson(json.at("folded_total"));
    for (const auto &[name, counters] : json.at("folded").items())
        carry.folded[name] = {detail::usageFromJson(counters.at("total")),
                              counters.at("last_seen").get<WindowIndex>()};
    return carry;
}

} // namespace

std::string usageFiguresText(const std::string &windowId, const CustomerUsage &used,
                             const CustomerUsage &late)
{
    Json customers = Json::object();
    for (const auto &[customer, figures] : used) {
        Json entry = countersToJson(figures);
        const auto lateFigures = late.find(customer);
        if (lateFigures != late.end())
            entry["late"] = countersToJson(lateFigures->second);
        customers[customer.text()] = entry;
    }
    return Json{{"window", windowId}, {"customers", customers}}.dump();
}

std::string SealedWindow::toText() const
{
    return Json{{"window", window},
                {"window_id", windowId},
                {"figures", figures},
                {"carry", carryToJson(carry)},
                {"reported", isReported}}
        .dump();
}

std::optional<SealedWindow> SealedWindow::fromText(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        fail(lastReason, "sealed window", "no JSON object");
        return std::nullopt;
    }
    try {
        SealedWindow sealed;
        sealed.window = json.at("window").get<WindowIndex>();
        sealed.windowId = json.at("window_id").get<std::string>();
        sealed.figures = json.at("figures").get<std::string>();
        sealed.carry = carryFromJson(json.at("carry"));
        sealed.isReported = json.at("reported").get<bool>();
        return sealed;
    } catch (const Json::exception &error) {
        fail(lastReason, "sealed window", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

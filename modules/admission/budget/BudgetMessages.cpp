#include "admission/budget/BudgetMessages.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace cuminrail {

namespace {

using nlohmann::json;

json itemsToJson(const std::vector<BudgetItem> &items)
{
    json list = json::array();
    for (const BudgetItem &item : items) {
        list.push_back(json::array(
            {item.customer.text(), static_cast<int>(item.kind), item.amount, item.credit}));
    }
    return list;
}

double readAmount(const json &value)
{
    const double amount = value.get<double>();
    // An infinite amount from a faulty peer would disable the customer's limit.
    return std::isfinite(amount) && amount >= 0 ? amount : 0;
}

std::vector<BudgetItem> itemsFromJson(const json &list)
{
    std::vector<BudgetItem> items;
    for (const json &entry : list) {
        BudgetItem item;
        item.customer = CustomerId(entry.at(0).get<std::string>());
        const int kind = entry.at(1).get<int>();
        if (kind < 0 || kind > static_cast<int>(BudgetKind::TokenRate))
            continue;
        item.kind = static_cast<BudgetKind>(kind);
        item.amount = readAmount(entry.at(2));
        item.credit = readAmount(entry.at(3));
        items.push_back(item);
    }
    return items;
}

} // namespace

std::string encodeBudgetMessage(const BudgetMessage &message)
{
    json encoded;
    if (message.borrow) {
        encoded = {{"t", "borrow"},
                   {"from", message.borrow->borrower.text()},
                   {"inc", message.borrow->incarnation},
                   {"n", message.borrow->sequence},
                   {"items", itemsToJson(message.borrow->items)}};
    } else if (message.grant) {
        encoded = {{"t", "grant"},
                   {"from", message.grant->lender.text()},
                   {"inc", message.grant->incarnation},
                   {"n", message.grant->sequence},
                   {"term", message.grant->term.count()},
                   {"items", itemsToJson(message.grant->items)}};
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return {bytes.begin(), bytes.end()};
}

std::optional<BudgetMessage> decodeBudgetMessage(std::string_view frame, Reason *lastReason)
{
    try {
        const json encoded = json::from_cbor(frame.begin(), frame.end());
        BudgetMessage message;
        const std::string type = encoded.at("t").get<std::string>();
        const InstanceId from(encoded.at("from").get<std::string>());
        const auto incarnation = encoded.at("inc").get<Incarnation>();
        const auto number = encoded.at("n").get<std::uint64_t>();
        const std::vector<BudgetItem> items = itemsFromJson(encoded.at("items"));
        if (type == "borrow") {
            message.borrow = BorrowRequest{from, incarnation, number, items};
        } else if (type == "grant") {
            const Millis term(encoded.at("term").get<std::int64_t>());
            message.grant = LoanGrant{from, incarnation, number, term, items};
        } else {
            fail(lastReason, "malformed budget message", "unknown message type " + type);
            return std::nullopt;
        }
        return message;
    } catch (const json::exception &error) {
        fail(lastReason, "malformed budget message", error.what());
        return std::nullopt;
    }
}

} // namespace cuminrail

#include "orders/record/OrderRecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cuminrail {

using Json = nlohmann::json;

std::string OrderRecord::toText() const
{
    return Json{{"order_id", order.orderId},
                {"fence", order.fence},
                {"kind", std::string(engineOrderKindNames.name(order.kind))},
                {"target", order.target},
                {"phase", std::string(orderPhaseNames.name(phase))},
                {"writer", writer}}
        .dump();
}

std::optional<OrderRecord> OrderRecord::fromText(const UpstreamId &engine, const std::string &text,
                                                 Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        fail(lastReason, path(engine), "no JSON object");
        return std::nullopt;
    }
    try {
        OrderRecord record;
        record.order.engine = engine;
        record.order.orderId = json.at("order_id").get<std::string>();
        record.order.fence = json.at("fence").get<FenceNumber>();
        record.order.target = json.at("target").get<std::string>();
        record.writer = json.at("writer").get<std::string>();
        const auto kind = engineOrderKindNames.value(json.at("kind").get<std::string>());
        const auto phase = orderPhaseNames.value(json.at("phase").get<std::string>());
        if (!kind || !phase) {
            fail(lastReason, path(engine), "unknown kind or phase");
            return std::nullopt;
        }
        record.order.kind = *kind;
        record.phase = *phase;
        return record;
    } catch (const Json::exception &error) {
        fail(lastReason, path(engine), error.what());
        return std::nullopt;
    }
}

bool stateSatisfies(const EngineState &state, const EngineOrder &order)
{
    const auto contains = [&](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), order.target) != names.end();
    };
    switch (order.kind) {
    case EngineOrderKind::ChangeRole:
        return engineRoleNames.name(state.role) == order.target;
    case EngineOrderKind::LoadModel:
        return contains(state.models);
    case EngineOrderKind::LoadAdapter:
        return contains(state.adapters);
    case EngineOrderKind::Drain:
        return state.role == EngineRole::None;
    }
    return false;
}

} // namespace cuminrail

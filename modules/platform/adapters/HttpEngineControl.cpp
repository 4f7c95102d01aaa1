#include "platform/adapters/HttpEngineControl.h"

#include "platform/client/Replies.h"

namespace cuminrail {

namespace {

using Json = nlohmann::json;

PlatformCall orderCall(const EngineOrder &order, const std::string &address)
{
    PlatformCall call;
    call.kind = PlatformCallKind::EngineOrder;
    call.address = address;
    call.method = "POST";
    call.target = "/control/orders";
    call.body =
        Json{
            {"order_id", order.orderId},
            {"fence", order.fence},
            {"kind", engineOrderKindNames.name(order.kind)},
            {"target", order.target},
        }
            .dump();
    call.notAfter = order.notAfter;
    return call;
}

PlatformCall stateCall(const std::string &address)
{
    PlatformCall call;
    call.kind = PlatformCallKind::EngineState;
    call.address = address;
    call.target = "/control/state";
    return call;
}

EngineState toState(const UpstreamId &engine, const Json &body)
{
    EngineState state;
    state.engine = engine;
    state.incarnation = body.at("incarnation").get<Incarnation>();
    // A role that this version does not know takes no work from it.
    state.role =
        engineRoleNames.value(body.at("role").get<std::string>()).value_or(EngineRole::None);
    state.models = body.at("models").get<std::vector<std::string>>();
    state.adapters = body.at("adapters").get<std::vector<std::string>>();
    state.lastOrderId = body.at("last_order_id").get<std::string>();
    state.currentOrderId = body.at("current_order_id").get<std::string>();
    state.highestFence = body.at("highest_fence").get<FenceNumber>();
    const Json &load = body.at("load");
    state.running = load.at("running").get<std::uint32_t>();
    state.waiting = load.at("waiting").get<std::uint32_t>();
    state.loadAge = Millis(body.at("load_age_ms").get<std::int64_t>());
    return state;
}

std::optional<EngineState> readState(const UpstreamId &engine, const PlatformAnswer &answer)
{
    const auto body = detail::successBody(answer);
    if (!body)
        return std::nullopt;
    try {
        return toState(engine, *body);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

EngineControl makeHttpEngineControl(PlatformClient &client, EngineAddressHook addressOf)
{
    EngineControl control;
    control.send = [&client, addressOf](const EngineOrder &order,
                                        std::function<void(const OrderReply &)> done) {
        const PlatformCompletion completion = [done =
                                                   std::move(done)](const PlatformAnswer &answer) {
            done(detail::toOrderReply(answer));
        };
        if (const auto address = addressOf(order.engine))
            client.call(orderCall(order, *address), completion);
        else
            client.refuse({order.engine.text(), "no such engine"}, completion);
    };
    control.readState = [&client,
                         addressOf](const UpstreamId &engine,
                                    std::function<void(const std::optional<EngineState> &)> done) {
        const PlatformCompletion completion =
            [engine, done = std::move(done)](const PlatformAnswer &answer) {
                done(readState(engine, answer));
            };
        if (const auto address = addressOf(engine))
            client.call(stateCall(*address), completion);
        else
            client.refuse({engine.text(), "no such engine"}, completion);
    };
    return control;
}

} // namespace cuminrail

#include "ports/testing/FakeEngines.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

void applyOrder(EngineState &state, const EngineOrder &order)
{
    switch (order.kind) {
    case EngineOrderKind::ChangeRole:
        state.role = engineRoleNames.value(order.target).value_or(EngineRole::None);
        break;
    case EngineOrderKind::LoadModel:
        state.models.push_back(order.target);
        break;
    case EngineOrderKind::LoadAdapter:
        state.adapters.push_back(order.target);
        break;
    case EngineOrderKind::Drain:
        state.role = EngineRole::None;
        break;
    }
}

} // namespace

FakeEngine &FakeEngines::add(const UpstreamId &id, bool checksFence)
{
    FakeEngine &engine = engines_[id];
    engine.state.engine = id;
    engine.state.incarnation = 1;
    engine.checksFence = checksFence;
    return engine;
}

EngineControl FakeEngines::port(const FakeProcessPtr &process)
{
    EngineControl control;
    control.send = [this, process](const EngineOrder &order,
                                   const std::function<void(const OrderReply &)> &done) {
        send(process, order, done);
    };
    control.readState =
        [this, process](const UpstreamId &id,
                        const std::function<void(const std::optional<EngineState> &)> &done) {
            readState(process, id, done);
        };
    return control;
}

void FakeEngines::send(const FakeProcessPtr &process, const EngineOrder &order,
                       const std::function<void(const OrderReply &)> &done)
{
    FakeCall call;
    call.endpoint = endpoint(order.engine);
    call.operation = "order";
    call.subject = order.orderId;
    call.effect = [this, process, order, done](const FakeCall::Answer &answer) {
        const bool accepted = accept(engines_.at(order.engine), process->name(), order);
        OrderReply reply;
        reply.status = accepted ? OrderStatus::Accepted : OrderStatus::Refused;
        answer([done, reply] { done(reply); });
    };
    call.refused = [done] { done(OrderReply{OrderStatus::NotSent, {}}); };
    call.unanswered = [done] { done(OrderReply{OrderStatus::Unknown, {}}); };
    call.mayLeave = [this, order] {
        return !guardEnabled(Guard::AuthorityCheckedAtWrite)
            || network_.scheduler().now() < order.notAfter;
    };
    network_.call(process, std::move(call));
}

bool FakeEngines::accept(FakeEngine &engine, const std::string &from, const EngineOrder &order)
{
    ReceivedOrder received;
    received.when = network_.scheduler().now();
    received.from = from;
    received.order = order;
    EngineState &state = engine.state;
    const bool fenceIsGood = !engine.checksFence || !guardEnabled(Guard::FenceChecked)
        || order.fence >= state.highestFence;
    const bool isRepeat =
        order.orderId == state.currentOrderId || order.orderId == state.lastOrderId;
    received.accepted = fenceIsGood;
    if (fenceIsGood && !isRepeat)
        received.interrupted = state.currentOrderId;
    engine.received.push_back(received);
    if (!fenceIsGood)
        return false;
    state.highestFence = std::max(state.highestFence, order.fence);
    if (isRepeat)
        return true;
    state.currentOrderId = order.orderId;
    engine.current = order;
    network_.scheduler().after(
        engine.orderDuration,
        [this, id = order.engine, orderId = order.orderId, incarnation = state.incarnation] {
            complete(id, orderId, incarnation);
        });
    return true;
}

void FakeEngines::complete(const UpstreamId &id, const std::string &orderId,
                           Incarnation incarnation)
{
    FakeEngine &engine = engines_.at(id);
    if (engine.state.incarnation != incarnation || engine.state.currentOrderId != orderId)
        return;
    applyOrder(engine.state, engine.current);
    engine.state.lastOrderId = orderId;
    engine.state.currentOrderId.clear();
}

void FakeEngines::crash(const UpstreamId &id, CrashOutcome outcome)
{
    FakeEngine &engine = engines_.at(id);
    const bool wasChanging = !engine.state.currentOrderId.empty();
    ++engine.state.incarnation;
    if (wasChanging && outcome == CrashOutcome::NewRole)
        applyOrder(engine.state, engine.current);
    if (wasChanging && outcome == CrashOutcome::NoRole)
        engine.state.role = EngineRole::None;
    engine.state.currentOrderId.clear();
    engine.state.lastOrderId.clear();
    // A restarted engine has forgotten which fences it saw; only the recorded order protects it.
    engine.state.highestFence = 0;
}

void FakeEngines::readState(const FakeProcessPtr &process, const UpstreamId &id,
                            const std::function<void(const std::optional<EngineState> &)> &done)
{
    FakeCall call;
    call.endpoint = endpoint(id);
    call.operation = "state";
    call.subject = id.text();
    call.effect = [this, id, done](const FakeCall::Answer &answer) {
        answer([state = engines_.at(id).state, done] { done(state); });
    };
    call.refused = [done] { done(std::nullopt); };
    call.unanswered = call.refused;
    network_.call(process, std::move(call));
}

} // namespace cuminrail

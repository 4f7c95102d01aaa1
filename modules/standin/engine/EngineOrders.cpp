#include "standin/engine/EngineOrders.h"

#include <algorithm>
#include <chrono>

namespace cuminrail::standin {

EngineOrders::EngineOrders(boost::asio::io_context &context, Options options)
    : options_(std::move(options)), roleBefore_(options_.role), timer_(context)
{
    state_.incarnation = 1;
    state_.role = options_.role;
    state_.models = options_.models;
}

OrderEffect EngineOrders::take(const EngineOrder &order)
{
    if (order.orderId == state_.currentOrderId || order.orderId == state_.lastOrderId)
        return {true, "repeated"};
    if (options_.checksFence && order.fence < state_.highestFence)
        return {false, "stale-fence"};
    const bool isBusy = !state_.currentOrderId.empty();
    if (options_.checksFence && isBusy)
        return {false, "busy"};
    state_.highestFence = std::max(state_.highestFence, order.fence);
    begin(order);
    return {true, isBusy ? "conflict" : ""};
}

void EngineOrders::begin(const EngineOrder &order)
{
    current_ = order;
    state_.currentOrderId = order.orderId;
    const bool isRoleChange = order.kind == EngineOrderKind::ChangeRole;
    if (isRoleChange || order.kind == EngineOrderKind::Drain) {
        if (state_.role != EngineRole::None)
            roleBefore_ = state_.role;
        state_.role = EngineRole::None;
    }
    std::uint32_t ms = isRoleChange ? options_.roleChangeMs : options_.loadMs;
    const bool crashes = static_cast<bool>(crashNow_);
    if (crashes)
        ms /= 2;
    timer_.expires_after(std::chrono::milliseconds(ms));
    timer_.async_wait([this, order, crashes](boost::system::error_code error) {
        if (error)
            return;
        if (crashes)
            std::exchange(crashNow_, nullptr)();
        else
            carryOut(order);
    });
}

void EngineOrders::carryOut(const EngineOrder &order)
{
    switch (order.kind) {
    case EngineOrderKind::ChangeRole:
        state_.role = engineRoleNames.value(order.target).value_or(EngineRole::None);
        roleBefore_ = state_.role;
        break;
    case EngineOrderKind::LoadModel:
        state_.models.push_back(order.target);
        break;
    case EngineOrderKind::LoadAdapter:
        state_.adapters.push_back(order.target);
        break;
    case EngineOrderKind::Drain:
        break;
    }
    state_.lastOrderId = order.orderId;
    state_.currentOrderId.clear();
}

void EngineOrders::crash(const std::string &roleAfter)
{
    timer_.cancel();
    ++state_.incarnation;
    if (roleAfter == "new" && current_.kind == EngineOrderKind::ChangeRole)
        state_.role = engineRoleNames.value(current_.target).value_or(EngineRole::None);
    else
        state_.role = roleAfter == "none" ? EngineRole::None : roleBefore_;
    roleBefore_ = state_.role;
    // Memory of orders is lost; the highest fence is kept on the engine's side for good.
    state_.currentOrderId.clear();
    state_.lastOrderId.clear();
}

} // namespace cuminrail::standin

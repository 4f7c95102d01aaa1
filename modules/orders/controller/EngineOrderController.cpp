#include "orders/controller/EngineOrderController.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

namespace cuminrail {

EngineOrderController::EngineOrderController(OrderedEngine engine, const OrderTiming &timing,
                                             Hooks hooks)
    : engine_(std::move(engine)), timing_(timing), hooks_(std::move(hooks))
{ }

template<typename Reply>
std::function<void(const Reply &)>
EngineOrderController::guardCompletion(void (EngineOrderController::*method)(const Reply &))
{
    return [this, method, epoch = epoch_](const Reply &reply) {
        if (epoch != epoch_)
            return;
        busy_ = false;
        (this->*method)(reply);
    };
}

void EngineOrderController::start()
{
    ++epoch_;
    busy_ = false;
    stage_ = Stage::Reading;
    acquiredAt_ = hooks_.clock.now();
    nextAt_ = acquiredAt_;
    unsentOrderId_.clear();
    record_ = OrderRecord{};
}

void EngineOrderController::stop()
{
    ++epoch_;
    busy_ = false;
    stage_ = Stage::Off;
}

std::optional<OrderRecord> EngineOrderController::outstanding() const
{
    const bool hasOrder = stage_ == Stage::Recording || stage_ == Stage::Sending
        || stage_ == Stage::InDoubt || stage_ == Stage::RecordingResult;
    if (!hasOrder)
        return std::nullopt;
    return record_;
}

std::optional<OrderRecord> EngineOrderController::lastSettled() const
{
    if (stage_ != Stage::Idle || record_.order.orderId.empty())
        return std::nullopt;
    return record_;
}

bool EngineOrderController::hasAuthority() const
{
    const auto authority = hooks_.authority();
    return authority && authority->notAfter - hooks_.clock.now() >= timing_.sendMargin;
}

bool EngineOrderController::tick(bool mayRead)
{
    if (stage_ == Stage::Off || stage_ == Stage::Idle || busy_ || hooks_.clock.now() < nextAt_)
        return false;
    if (stage_ == Stage::Reading && mayRead) {
        read();
        return true;
    }
    if (stage_ == Stage::InDoubt)
        readState();
    return false;
}

/**
    The holder's own order can be delayed in transit until the holder considers it lost and sends
    the next one. With the same fence for both the engine would execute the older one last, so the
    fence rises with each order: the lease's fence in the upper bits, a sequence number in the lower
    ones.
*/
FenceNumber EngineOrderController::nextFence(const Authority &authority)
{
    // A lease that expired can come back under the same fence, when a renewal whose reply was lost
    // is found to have taken effect. The sequence continues then; restarted at zero it would fall.
    if (authority.fence != sequenceFence_)
        sequence_ = 0;
    sequenceFence_ = authority.fence;
    if (guardEnabled(Guard::FenceRisesWithOrder))
        ++sequence_;
    return authority.fence * ordersPerHolder + sequence_;
}

void EngineOrderController::scheduleNext(Millis span)
{
    const auto width = static_cast<std::uint64_t>(span.count() / 2 + 1);
    nextAt_ =
        hooks_.clock.now() + span / 2 + Millis(static_cast<std::int64_t>(hooks_.random() % width));
}

bool EngineOrderController::request(EngineOrderKind kind, const std::string &target,
                                    Reason *lastReason)
{
    if (stage_ != Stage::Idle)
        return fail(lastReason, engine_.id.text(), "another order is not settled yet");
    const auto authority = hooks_.authority();
    if (!authority || !hasAuthority())
        return fail(lastReason, engine_.id.text(),
                    "this instance does not hold the lease of the duty");
    record_.order.engine = engine_.id;
    record_.order.orderId = engine_.id.text() + "-" + std::to_string(authority->fence) + "-"
        + std::to_string(hooks_.random());
    record_.order.fence = nextFence(*authority);
    record_.order.kind = kind;
    record_.order.target = target;
    record_.phase = OrderPhase::Intended;
    inherited_ = false;
    unsentOrderId_ = record_.order.orderId;
    // A holder that dies between sending and recording would leave an order unknown to its
    // successor: the successor sends a different one and the engine has both.
    if (!guardEnabled(Guard::RecordBeforeSend)) {
        send();
        return true;
    }
    write(Stage::Recording);
    return true;
}

void EngineOrderController::write(Stage stage)
{
    stage_ = stage;
    busy_ = true;
    record_.writer = hooks_.instance;
    StorePut put;
    put.path = OrderRecord::path(engine_.id);
    put.value = record_.toText();
    put.expected = version_;
    const auto method = stage == Stage::Recording ? &EngineOrderController::recorded
                                                  : &EngineOrderController::resultRecorded;
    hooks_.store.put(put, guardCompletion<StoreReply>(method));
}

void EngineOrderController::recorded(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        version_ = reply.version;
        hooks_.events(Event{&events::orderRecorded,
                            {{"engine", engine_.id.text()},
                             {"order", record_.order.orderId},
                             {"target", record_.order.target}}});
        send();
        return;
    }
    // The next read shows whether the record was stored; nothing has been sent.
    stage_ = Stage::Reading;
    scheduleNext(timing_.retryInterval);
}

void EngineOrderController::read()
{
    busy_ = true;
    hooks_.store.get(OrderRecord::path(engine_.id),
                     guardCompletion<StoreReply>(&EngineOrderController::readDone));
}

void EngineOrderController::readDone(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        version_ = 0;
        stage_ = Stage::Idle;
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        scheduleNext(timing_.retryInterval);
        return;
    }
    const StoreObject &object = reply.objects.front();
    const auto record = OrderRecord::fromText(engine_.id, object.value, nullptr);
    // An unreadable record may hide an order; nothing is sent until an operator has checked it.
    if (!record) {
        scheduleNext(timing_.retryInterval * 10);
        return;
    }
    version_ = object.version;
    adoptRecord(*record);
}

void EngineOrderController::adoptRecord(const OrderRecord &record)
{
    // An order of a previous holder may still be in transit. A different one sent now would
    // conflict with it: the engine would execute both, or the older one last.
    const bool isUnsettled = !record.isSettled() && guardEnabled(Guard::SettleBeforeNext);
    record_ = record;
    if (!isUnsettled) {
        stage_ = Stage::Idle;
        return;
    }
    const bool isOwnUnsent = record.order.orderId == unsentOrderId_;
    const auto authority = hooks_.authority();
    if (isOwnUnsent) {
        send();
        return;
    }
    inherited_ = true;
    hooks_.events(Event{&events::orderInDoubt,
                        {{"engine", engine_.id.text()}, {"order", record_.order.orderId}}});
    stage_ = Stage::InDoubt;
    nextAt_ = hooks_.clock.now();
    // An engine that checks fences receives the same order again under the new fence: from then on
    // it refuses the previous holder, and a duplicate of the same order does no harm.
    if (engine_.checksFence && authority
        && record_.order.fence < authority->fence * ordersPerHolder) {
        record_.order.fence = nextFence(*authority);
        write(Stage::Recording);
    }
}

void EngineOrderController::send()
{
    unsentOrderId_.clear();
    const auto authority = hooks_.authority();
    // The reply of the store may have been slow; the lease that allowed this order may have
    // expired.
    if (guardEnabled(Guard::AuthorityCheckedBeforeSend) && !hasAuthority()) {
        stage_ = Stage::Reading;
        scheduleNext(timing_.retryInterval);
        return;
    }
    stage_ = Stage::Sending;
    busy_ = true;
    sentAt_ = hooks_.clock.now();
    EngineOrder order = record_.order;
    order.notAfter = authority ? authority->notAfter : hooks_.clock.now() + timing_.sendMargin;
    hooks_.engines.send(order,
                        guardCompletion<OrderReply>(&EngineOrderController::handleOrderReply));
}

void EngineOrderController::handleOrderReply(const OrderReply &reply)
{
    const bool hadNoEffect =
        reply.status == OrderStatus::Refused || reply.status == OrderStatus::NotSent;
    // A refusal applies to this send only. The engine may have received what a previous holder
    // sent.
    if (hadNoEffect && !inherited_) {
        settle(OrderPhase::NoEffect);
        return;
    }
    if (reply.status == OrderStatus::Unknown)
        hooks_.events(Event{&events::orderInDoubt,
                            {{"engine", engine_.id.text()}, {"order", record_.order.orderId}}});
    stage_ = Stage::InDoubt;
    scheduleNext(timing_.settleInterval);
}

void EngineOrderController::readState()
{
    busy_ = true;
    hooks_.engines.readState(
        engine_.id, guardCompletion<std::optional<EngineState>>(&EngineOrderController::stateRead));
}

void EngineOrderController::stateRead(const std::optional<EngineState> &state)
{
    scheduleNext(timing_.settleInterval);
    if (!state || state->currentOrderId == record_.order.orderId)
        return;
    if (state->lastOrderId == record_.order.orderId) {
        settle(OrderPhase::Done);
        return;
    }
    // The engine does not know the order: it has not arrived yet, or never will, or a crash lost
    // it.
    if (mayStillArrive(*state))
        return;
    settle(stateSatisfies(*state, record_.order) ? OrderPhase::Done : OrderPhase::NoEffect);
}

bool EngineOrderController::mayStillArrive(const EngineState &state) const
{
    if (!guardEnabled(Guard::WaitForSendsInFlight))
        return false;
    const Millis now = hooks_.clock.now();
    const bool ownMayStillArrive = now < sentAt_ + timing_.maxInFlight && sentAt_ >= acquiredAt_;
    // The authority of the previous holder had ended when this one began, so its last order was
    // sent before.
    const bool previousMayStillArrive = inherited_ && now < acquiredAt_ + timing_.maxInFlight;
    const bool isFenced =
        engine_.checksFence && inherited_ && state.highestFence >= record_.order.fence;
    return ownMayStillArrive || (previousMayStillArrive && !isFenced);
}

void EngineOrderController::settle(OrderPhase phase)
{
    record_.phase = phase;
    write(Stage::RecordingResult);
}

void EngineOrderController::resultRecorded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        stage_ = Stage::Reading;
        scheduleNext(timing_.retryInterval);
        return;
    }
    version_ = reply.version;
    stage_ = Stage::Idle;
    hooks_.events(Event{&events::orderSettled,
                        {{"engine", engine_.id.text()},
                         {"order", record_.order.orderId},
                         {"result", std::string(orderPhaseNames.name(record_.phase))}}});
    if (hooks_.onSettled)
        hooks_.onSettled(record_);
}

} // namespace cuminrail

#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/manager/DutyLease.h"
#include "orders/record/OrderRecord.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <optional>
#include <string>

namespace cuminrail {

/** Intervals and margins for sending and settling orders. */
struct OrderTiming
{
    /** No order is sent if less than this remains of the lease. */
    Millis sendMargin{1000};
    /**
        The longest time that a sent order can still arrive after the authority of its sender has
        ended.
    */
    Millis maxInFlight = Millis::seconds(5);
    Millis settleInterval{500};
    Millis retryInterval{500};
};

/**
    Number of orders that one holder may give an engine; the range of the lower bits of an order's
    fence.
*/
inline constexpr FenceNumber ordersPerHolder = 1U << 20U;

/** An engine that receives orders. */
struct OrderedEngine
{
    UpstreamId id;
    /** It refuses orders with a lower fence than the highest it has received. */
    bool checksFence = false;
};

/**
    Controls the orders of one engine for the holder of its failure domain's duty.

    Tracks at most one unsettled order, its own or one of a previous holder. The record in the store
    is written conditionally on its version, so that of two instances that both consider themselves
    the holder only one can add an order after the same predecessor.
*/
class EngineOrderController
{
public:
    enum class Stage : std::uint8_t {
        /** Not the holder: does nothing. */
        Off,
        /** The record has to be read from the store. */
        Reading,
        /** The last order is settled; another one may be given. */
        Idle,
        /** The record is being written; nothing has been sent. */
        Recording,
        /** The order is being sent. */
        Sending,
        /** The engine may have received it; its state will settle that. */
        InDoubt,
        /** The result is being written. */
        RecordingResult,
    };

    struct Hooks
    {
        ObjectStore store;
        EngineControl engines;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** Returns the authority to act at this moment. */
        std::function<std::optional<Authority>()> authority;
        std::function<void(const OrderRecord &)> onSettled;
        std::string instance;
    };

    EngineOrderController(OrderedEngine engine, const OrderTiming &timing, Hooks hooks);
    EngineOrderController(const EngineOrderController &) = delete;
    EngineOrderController &operator=(const EngineOrderController &) = delete;

    /** Starts as the holder: settles first what a previous holder left. */
    void start();
    /** Stops: this instance is no longer the holder. Later replies are ignored. */
    void stop();
    /**
        Performs due work. Returns whether it read the record; @c mayRead limits these reads when a
        duty is taken over.
    */
    bool tick(bool mayRead);
    /** Gives an order. Fails while another one is unsettled or without authority. */
    bool request(EngineOrderKind kind, const std::string &target, Reason *lastReason);

    Stage stage() const { return stage_; }
    /** Returns the unsettled order. */
    std::optional<OrderRecord> outstanding() const;
    /** Returns the last settled order if none is outstanding. */
    std::optional<OrderRecord> lastSettled() const;
    void setChecksFence(bool checks) { engine_.checksFence = checks; }

private:
    /** Wraps a completion so that it does nothing after stop() or a later start(). */
    template<typename Reply>
    std::function<void(const Reply &)>
    guardCompletion(void (EngineOrderController::*method)(const Reply &));

    void read();
    void readDone(const StoreReply &reply);
    void adoptRecord(const OrderRecord &record);
    void write(Stage stage);
    void recorded(const StoreReply &reply);
    void resultRecorded(const StoreReply &reply);
    void send();
    void handleOrderReply(const OrderReply &reply);
    void readState();
    void stateRead(const std::optional<EngineState> &state);
    bool mayStillArrive(const EngineState &state) const;
    void settle(OrderPhase phase);
    void scheduleNext(Millis span);
    bool hasAuthority() const;
    FenceNumber nextFence(const Authority &authority);

    OrderedEngine engine_;
    OrderTiming timing_;
    Hooks hooks_;
    Stage stage_ = Stage::Off;
    std::uint64_t epoch_ = 0;
    bool busy_ = false;
    Millis nextAt_;
    Millis acquiredAt_;
    Millis sentAt_;
    /** Number of orders given under one lease fence. */
    FenceNumber sequence_ = 0;
    FenceNumber sequenceFence_ = 0;
    /** The order in record_ came from a previous holder, which may have sent it. */
    bool inherited_ = false;
    ObjectVersion version_ = 0;
    OrderRecord record_;
    /**
        The order that this incarnation has written to the store but not sent: safe to send if found
        there.
    */
    std::string unsentOrderId_;
};

inline constexpr NameTable<EngineOrderController::Stage, 7> orderStageNames{{{
    {EngineOrderController::Stage::Off, "off"},
    {EngineOrderController::Stage::Reading, "reading"},
    {EngineOrderController::Stage::Idle, "idle"},
    {EngineOrderController::Stage::Recording, "recording"},
    {EngineOrderController::Stage::Sending, "sending"},
    {EngineOrderController::Stage::InDoubt, "in-doubt"},
    {EngineOrderController::Stage::RecordingResult, "recording-result"},
}}};

} // namespace cuminrail

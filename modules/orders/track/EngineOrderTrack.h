#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/keeper/DutyLease.h"
#include "orders/record/OrderRecord.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <optional>
#include <string>

namespace cuminrail {

/** Spans that orders are settled by. */
struct OrderTiming
{
    /** No order is sent with less of the lease left than this. */
    Millis sendMargin{1000};
    /** The longest that a send can still arrive after its sender's authority has ended. */
    Millis maxInFlight = Millis::seconds(5);
    Millis settleEvery{500};
    Millis retryEvery{500};
};

/** How many orders one holder may give an engine; the lower bits of an order's fence. */
inline constexpr FenceNumber ordersPerHolder = 1U << 20U;

/** An engine as orders see it. */
struct OrderedEngine
{
    UpstreamId id;
    /** It refuses orders with a lower fence than it has seen. */
    bool checksFence = false;
};

/**
    The orders of one engine, as the holder of its failure domain's duty sees them.

    Knows of at most one order that is not settled, its own or a former holder's. The record in
    the store is written under a condition on its version, so that of two who believe to be in
    charge only one can add an order after the same predecessor.
*/
class EngineOrderTrack
{
public:
    enum class Stage : std::uint8_t {
        /** Not in charge: does nothing. */
        Off,
        /** The record in the store is to be read. */
        Reading,
        /** The last order is settled; another may be given. */
        Idle,
        /** The record is being written; nothing has been sent. */
        Recording,
        /** The order is on its way. */
        Sending,
        /** It may have been received; the engine's state will tell. */
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
        /** The right to act at this moment. */
        std::function<std::optional<Authority>()> authority;
        std::function<void(const OrderRecord &)> onSettled;
        std::string instance;
    };

    EngineOrderTrack(OrderedEngine engine, const OrderTiming &timing, Hooks hooks);
    EngineOrderTrack(const EngineOrderTrack &) = delete;
    EngineOrderTrack &operator=(const EngineOrderTrack &) = delete;

    /** Takes charge: whatever a former holder left is settled first. */
    void begin();
    /** Is no longer in charge; answers that still come are ignored. */
    void end();
    /** Does what is due. @c mayRead bounds how many records are read at a take-over. */
    bool tick(bool mayRead);
    /** Gives an order. Refuses while another one is not settled or without authority. */
    bool request(EngineOrderKind kind, const std::string &target, Reason *lastReason);

    Stage stage() const { return stage_; }
    /** Returns the order that is not settled. */
    std::optional<OrderRecord> outstanding() const;
    /** Returns the last order that was settled, when none is outstanding. */
    std::optional<OrderRecord> lastSettled() const;
    void setChecksFence(bool checks) { engine_.checksFence = checks; }

private:
    /** Wraps a completion so that it does nothing after end() or a later begin(). */
    template<typename Reply>
    std::function<void(const Reply &)> current(void (EngineOrderTrack::*method)(const Reply &));

    void read();
    void readDone(const StoreReply &reply);
    void takeUp(const OrderRecord &record);
    void write(Stage stage);
    void recorded(const StoreReply &reply);
    void resultRecorded(const StoreReply &reply);
    void send();
    void sent(const OrderReply &reply);
    void readState();
    void stateRead(const std::optional<EngineState> &state);
    bool mayStillArrive(const EngineState &state) const;
    void settle(OrderPhase phase);
    void wait(Millis span);
    bool hasAuthority() const;
    FenceNumber nextFence(const Authority &authority);

    OrderedEngine engine_;
    OrderTiming timing_;
    Hooks hooks_;
    Stage stage_ = Stage::Off;
    std::uint64_t epoch_ = 0;
    bool busy_ = false;
    Millis nextAt_;
    Millis takenAt_;
    Millis sentAt_;
    /** Counts the orders given under one lease fence. */
    FenceNumber sequence_ = 0;
    FenceNumber sequenceFence_ = 0;
    /** The order in record_ came from a former holder, who may have sent it. */
    bool inherited_ = false;
    ObjectVersion version_ = 0;
    OrderRecord record_;
    /** Orders this life has put into the store's hands and not sent: safe to send when found. */
    std::string unsentOrderId_;
};

inline constexpr NameTable<EngineOrderTrack::Stage, 7> orderStageNames{{{
    {EngineOrderTrack::Stage::Off, "off"},
    {EngineOrderTrack::Stage::Reading, "reading"},
    {EngineOrderTrack::Stage::Idle, "idle"},
    {EngineOrderTrack::Stage::Recording, "recording"},
    {EngineOrderTrack::Stage::Sending, "sending"},
    {EngineOrderTrack::Stage::InDoubt, "in-doubt"},
    {EngineOrderTrack::Stage::RecordingResult, "recording-result"},
}}};

} // namespace cuminrail

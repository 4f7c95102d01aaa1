#pragma once

#include "capacity/fleet/FleetPlanner.h"
#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/manager/DutyLease.h"
#include "orders/controller/EngineOrderController.h"
#include "ports/fleet/FleetOrdering.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cuminrail {

/** The value of an object "fleet/<domain>/<cost class>". */
struct FleetRecord
{
    std::uint32_t count = 0;
    FenceNumber fence = 0;
    std::string clientToken;
    /** True once the platform has confirmed the target. */
    bool isSettled = false;

    std::string toText() const;
    static std::optional<FleetRecord> fromText(const std::string &text, Reason *lastReason);
    static std::string path(const Zone &zone);
};

/**
    Declares the target of one zone to the platform, as holder of the lease for the failure domain's
    duty.

    A target is recorded before it is declared, and only one is outstanding at a time. A declaration
    contains the total number and a token, so repeating it has no effect: if the result is unknown,
    the target is read back and, if necessary, declared again before another one follows.
*/
class FleetManager
{
public:
    struct Hooks
    {
        ObjectStore store;
        FleetOrdering fleet;
        Clock clock;
        RandomHook random;
        EventSink events;
        std::function<std::optional<Authority>()> authority;
    };

    FleetManager(Zone zone, Hooks hooks);
    FleetManager(const FleetManager &) = delete;
    FleetManager &operator=(const FleetManager &) = delete;

    /** Called when the duty's lease was acquired. */
    void onLeaseAcquired();
    /** Called when the duty's lease was lost or is about to be released. */
    void onLeaseLost();
    /** Performs the actions that are due. */
    void tick();
    /** Declares a target. Fails while another one is not settled, or without a valid lease. */
    bool request(std::uint32_t count, Reason *lastReason);
    /** Returns true if a target could be declared now. */
    bool isIdle() const { return stage_ == Stage::Idle; }
    /** Returns the last recorded target. */
    std::optional<FleetRecord> lastRecord() const;

private:
    enum class Stage : std::uint8_t {
        Off,
        Reading,
        Idle,
        Recording,
        Declaring,
        InDoubt,
        RecordingResult,
    };

    template<typename Reply>
    std::function<void(const Reply &)> forCurrentEpoch(void (FleetManager::*method)(const Reply &));

    std::optional<Authority> usableAuthority() const;
    FenceNumber nextFence(const Authority &authority);
    void read();
    void handleRead(const StoreReply &reply);
    void write(Stage stage);
    void handleRecorded(const StoreReply &reply);
    void handleResultRecorded(const StoreReply &reply);
    void declare();
    void handleDeclared(const OrderReply &reply);
    void readBack();
    void handleReadBack(const std::optional<FleetStatus> &status);
    void settle();
    void retryLater();
    void restartReading();

    Zone zone_;
    Hooks hooks_;
    Stage stage_ = Stage::Off;
    std::uint64_t epoch_ = 0;
    bool isCallPending_ = false;
    Millis nextAttemptAt_;
    ObjectVersion version_ = 0;
    FleetRecord record_;
    FenceNumber sequence_ = 0;
    FenceNumber sequenceFence_ = 0;
};

} // namespace cuminrail

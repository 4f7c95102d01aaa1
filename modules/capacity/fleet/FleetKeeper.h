#pragma once

#include "capacity/fleet/FleetPlanner.h"
#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/keeper/DutyLease.h"
#include "orders/track/EngineOrderTrack.h"
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
    /** The platform has confirmed the target. */
    bool isSettled = false;

    std::string toText() const;
    static std::optional<FleetRecord> fromText(const std::string &text, Reason *lastReason);
    static std::string path(const Zone &zone);
};

/**
    Declares one zone's target to the platform, as the holder of the failure domain's duty.

    The target is recorded before it is declared, and one is outstanding at a time. A declared
    target is the whole number, with a token: declaring it again changes nothing, so a result that
    is unknown is read back and, if need be, declared again before another one follows.
*/
class FleetKeeper
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

    FleetKeeper(Zone zone, Hooks hooks);
    FleetKeeper(const FleetKeeper &) = delete;
    FleetKeeper &operator=(const FleetKeeper &) = delete;

    /** The duty's lease was taken. */
    void taken();
    /** The duty's lease was lost or is being given back. */
    void lost();
    /** Does what is due. */
    void tick();
    /** Declares a target. Refuses while another one is not settled or without authority. */
    bool request(std::uint32_t count, Reason *lastReason);
    /** Returns true when a target could be declared now. */
    bool isIdle() const { return stage_ == Stage::Idle; }
    /** Returns the last recorded target. */
    std::optional<FleetRecord> last() const;

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
    std::function<void(const Reply &)> current(void (FleetKeeper::*method)(const Reply &));

    std::optional<Authority> usableAuthority() const;
    FenceNumber nextFence(const Authority &authority);
    void read();
    void readDone(const StoreReply &reply);
    void write(Stage stage);
    void recorded(const StoreReply &reply);
    void resultRecorded(const StoreReply &reply);
    void declare();
    void declared(const OrderReply &reply);
    void readBack();
    void readBackDone(const std::optional<FleetStatus> &status);
    void settle();
    void retryLater();
    void backToReading();

    Zone zone_;
    Hooks hooks_;
    Stage stage_ = Stage::Off;
    std::uint64_t epoch_ = 0;
    bool busy_ = false;
    Millis nextAt_;
    ObjectVersion version_ = 0;
    FleetRecord record_;
    FenceNumber sequence_ = 0;
    FenceNumber sequenceFence_ = 0;
};

} // namespace cuminrail

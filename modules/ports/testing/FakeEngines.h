#pragma once

#include "ports/engines/EngineControl.h"
#include "ports/testing/FakeNetwork.h"

#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** One order as an engine received it. */
struct ReceivedOrder
{
    Millis when;
    std::string from;
    EngineOrder order;
    bool accepted = false;
    /** The different order that was still being carried out, or empty. */
    std::string interrupted;
};

/** What a crash in the middle of a role change leaves. */
enum class CrashOutcome : std::uint8_t {
    OldRole,
    NewRole,
    NoRole,
};

/** One engine: its state, and what it really received. */
struct FakeEngine
{
    EngineState state;
    bool checksFence = false;
    Millis orderDuration{2000};
    std::vector<ReceivedOrder> received;
    /** The order being carried out. */
    EngineOrder current;
};

/**
    Engines that take orders, carry them out over time, and crash.

    Network endpoint "engine:<id>". An engine that does not check fences carries out whatever
    arrives, so that a late order does its harm and the record shows it.
*/
class FakeEngines
{
public:
    explicit FakeEngines(FakeNetwork &network) : network_(network) { }
    FakeEngines(const FakeEngines &) = delete;
    FakeEngines &operator=(const FakeEngines &) = delete;

    FakeEngine &add(const UpstreamId &id, bool checksFence);
    FakeEngine &engine(const UpstreamId &id) { return engines_.at(id); }
    const std::map<UpstreamId, FakeEngine> &engines() const { return engines_; }

    /** Ends one life of an engine and begins the next; what it was carrying out is lost. */
    void crash(const UpstreamId &id, CrashOutcome outcome);

    /** Returns the engines' control interface as one process reaches it. */
    EngineControl port(const FakeProcessPtr &process);

    static std::string endpoint(const UpstreamId &id) { return "engine:" + id.text(); }

private:
    bool accept(FakeEngine &engine, const std::string &from, const EngineOrder &order);
    void complete(const UpstreamId &id, const std::string &orderId, Incarnation incarnation);
    void send(const FakeProcessPtr &process, const EngineOrder &order,
              const std::function<void(const OrderReply &)> &done);
    void readState(const FakeProcessPtr &process, const UpstreamId &id,
                   const std::function<void(const std::optional<EngineState> &)> &done);

    FakeNetwork &network_;
    std::map<UpstreamId, FakeEngine> engines_;
};

} // namespace cuminrail

#pragma once

#include "orders/track/EngineOrderTrack.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** An order that someone wants given. */
struct WantedOrder
{
    UpstreamId engine;
    EngineOrderKind kind = EngineOrderKind::ChangeRole;
    std::string target;
    /** Loads with a higher figure get the weight store's rate first. */
    double urgency = 0;
};

/**
    Gives the orders of one duty (a failure domain) to its engines.

    Wire taken() and lost() to the lease of the duty. Loads wait here for their turn at the weight
    store, the most urgent first; everything else goes to the engine's track at once.

    @see EngineOrderTrack, docs/ORDERS.md
*/
class OrderKeeper
{
public:
    /** Asked for one load at a time; answers nothing for "go on", or when to ask again. */
    using WeightTicket = std::function<void(const WantedOrder &,
                                            std::function<void(const std::optional<Millis> &)>)>;

    struct Hooks
    {
        EngineOrderTrack::Hooks track;
        /** May be null: no weight store to share. */
        WeightTicket weightTicket;
    };

    /** One engine for the state dump. */
    struct View
    {
        UpstreamId engine;
        EngineOrderTrack::Stage stage = EngineOrderTrack::Stage::Off;
        std::optional<OrderRecord> outstanding;
    };

    OrderKeeper(const OrderTiming &timing, Hooks hooks);
    OrderKeeper(const OrderKeeper &) = delete;
    OrderKeeper &operator=(const OrderKeeper &) = delete;

    /** Sets which engines belong to the duty. */
    void setEngines(const std::vector<OrderedEngine> &engines);
    /** The duty's lease was taken. */
    void taken();
    /** The duty's lease was lost or is being given back. */
    void lost();
    /** Does what is due; call about every 100 ms. */
    void tick();

    /** Gives an order or queues a load. Returns false, with a reason, when it cannot. */
    bool request(const WantedOrder &wanted, Reason *lastReason);
    /** Returns true when the engine could be given an order now. */
    bool isIdle(const UpstreamId &engine) const;
    /** Returns the engine's last settled order, when none is outstanding. */
    std::optional<OrderRecord> lastSettled(const UpstreamId &engine) const;
    /** Returns true when nothing is recorded as intended and not settled. */
    bool isQuiet() const;
    std::vector<View> view() const;
    const std::vector<WantedOrder> &waitingLoads() const { return loads_; }

private:
    void startNextLoad();
    void ticketAnswered(const WantedOrder &wanted, const std::optional<Millis> &retryAfter);

    OrderTiming timing_;
    Hooks hooks_;
    std::map<UpstreamId, std::unique_ptr<EngineOrderTrack>> tracks_;
    std::vector<WantedOrder> loads_;
    bool inCharge_ = false;
    bool ticketAsked_ = false;
    std::uint64_t epoch_ = 0;
    Millis nextTicketAt_;
};

} // namespace cuminrail

#pragma once

#include "orders/controller/EngineOrderController.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** A requested order. */
struct OrderRequest
{
    UpstreamId engine;
    EngineOrderKind kind = EngineOrderKind::ChangeRole;
    std::string target;
    /** Loads with a higher value get the limited rate of the weight store first. */
    double urgency = 0;
};

/**
    Issues the orders of one duty (a failure domain) to its engines.

    Connect onLeaseAcquired() and onLeaseLost() to the lease of the duty. Loads are queued here
   until the weight store grants a ticket, the most urgent first; all other orders go to the
   controller of the engine at once.

    @see EngineOrderController, docs/ORDERS.md
*/
class OrderManager
{
public:
    /**
        Requests the ticket for one load at a time; the completion gets nothing for "proceed", or
        the delay before the next request.
    */
    using WeightTicket = std::function<void(const OrderRequest &,
                                            std::function<void(const std::optional<Millis> &)>)>;

    struct Hooks
    {
        EngineOrderController::Hooks controller;
        /** May be null if no weight store is shared. */
        WeightTicket weightTicket;
    };

    /** The state of one engine for the state dump. */
    struct View
    {
        UpstreamId engine;
        EngineOrderController::Stage stage = EngineOrderController::Stage::Off;
        std::optional<OrderRecord> outstanding;
    };

    OrderManager(const OrderTiming &timing, Hooks hooks);
    OrderManager(const OrderManager &) = delete;
    OrderManager &operator=(const OrderManager &) = delete;

    /** Sets the engines that belong to the duty. */
    void setEngines(const std::vector<OrderedEngine> &engines);
    /** The lease of the duty was acquired. */
    void onLeaseAcquired();
    /** The lease of the duty was lost or is being released. */
    void onLeaseLost();
    /** Performs due work; call about every 100 ms. */
    void tick();

    /** Issues an order or queues a load. Returns false, with a reason, when it cannot. */
    bool request(const OrderRequest &wanted, Reason *lastReason);
    /** Returns whether the engine could be given an order now. */
    bool isIdle(const UpstreamId &engine) const;
    /** Returns the last settled order of the engine if none is outstanding. */
    std::optional<OrderRecord> lastSettled(const UpstreamId &engine) const;
    /** Returns whether no order is recorded as intended and unsettled. */
    bool isQuiet() const;
    std::vector<View> view() const;
    const std::vector<OrderRequest> &waitingLoads() const { return queuedLoads_; }

private:
    void startNextLoad();
    void handleTicket(const OrderRequest &wanted, const std::optional<Millis> &retryAfter);

    OrderTiming timing_;
    Hooks hooks_;
    std::map<UpstreamId, std::unique_ptr<EngineOrderController>> controllers_;
    std::vector<OrderRequest> queuedLoads_;
    bool isActive_ = false;
    bool ticketRequested_ = false;
    std::uint64_t epoch_ = 0;
    Millis nextTicketAt_;
};

} // namespace cuminrail

#include "orders/manager/OrderManager.h"

#include <algorithm>
#include <set>

namespace cuminrail {

namespace {

/**
    Records read per tick after the lease is acquired, so that taking over a large domain causes no
    burst.
*/
constexpr int readsPerTick = 5;

bool isLoad(EngineOrderKind kind)
{
    return kind == EngineOrderKind::LoadModel || kind == EngineOrderKind::LoadAdapter;
}

} // namespace

OrderManager::OrderManager(const OrderTiming &timing, Hooks hooks)
    : timing_(timing), hooks_(std::move(hooks))
{ }

void OrderManager::setEngines(const std::vector<OrderedEngine> &engines)
{
    std::set<UpstreamId> wanted;
    for (const OrderedEngine &engine : engines) {
        wanted.insert(engine.id);
        auto &controller = controllers_[engine.id];
        if (controller) {
            controller->setChecksFence(engine.checksFence);
            continue;
        }
        controller = std::make_unique<EngineOrderController>(engine, timing_, hooks_.controller);
        if (isActive_)
            controller->start();
    }
    for (auto &[id, controller] : controllers_) {
        if (wanted.count(id) == 0)
            controller->stop();
    }
}

void OrderManager::onLeaseAcquired()
{
    isActive_ = true;
    ++epoch_;
    ticketRequested_ = false;
    for (auto &[id, controller] : controllers_)
        controller->start();
}

void OrderManager::onLeaseLost()
{
    isActive_ = false;
    ++epoch_;
    queuedLoads_.clear();
    for (auto &[id, controller] : controllers_)
        controller->stop();
}

void OrderManager::tick()
{
    int reads = 0;
    for (auto &[id, controller] : controllers_) {
        if (controller->tick(reads < readsPerTick))
            ++reads;
    }
    startNextLoad();
}

bool OrderManager::request(const OrderRequest &wanted, Reason *lastReason)
{
    const auto controller = controllers_.find(wanted.engine);
    if (controller == controllers_.end())
        return fail(lastReason, wanted.engine.text(), "the engine does not belong to this duty");
    if (!isLoad(wanted.kind) || !hooks_.weightTicket)
        return controller->second->request(wanted.kind, wanted.target, lastReason);
    if (!isActive_)
        return fail(lastReason, wanted.engine.text(),
                    "this instance does not hold the lease of the duty");
    const bool isQueued =
        std::any_of(queuedLoads_.begin(), queuedLoads_.end(), [&](const OrderRequest &other) {
            return other.engine == wanted.engine && other.target == wanted.target;
        });
    if (!isQueued)
        queuedLoads_.push_back(wanted);
    return true;
}

void OrderManager::startNextLoad()
{
    if (ticketRequested_ || queuedLoads_.empty() || hooks_.controller.clock.now() < nextTicketAt_)
        return;
    // The rate of the weight store is scarce when the traffic mix shifts: the loads that matter now
    // go first, and one whose engine is busy does not block the others.
    std::stable_sort(
        queuedLoads_.begin(), queuedLoads_.end(),
        [](const OrderRequest &a, const OrderRequest &b) { return a.urgency > b.urgency; });
    const auto ready =
        std::find_if(queuedLoads_.begin(), queuedLoads_.end(),
                     [this](const OrderRequest &load) { return isIdle(load.engine); });
    if (ready == queuedLoads_.end())
        return;
    ticketRequested_ = true;
    const OrderRequest wanted = *ready;
    hooks_.weightTicket(wanted, [this, wanted, epoch = epoch_](const std::optional<Millis> &when) {
        if (epoch == epoch_)
            handleTicket(wanted, when);
    });
}

void OrderManager::handleTicket(const OrderRequest &wanted, const std::optional<Millis> &retryAfter)
{
    ticketRequested_ = false;
    if (retryAfter) {
        nextTicketAt_ = hooks_.controller.clock.now() + *retryAfter;
        return;
    }
    queuedLoads_.erase(std::remove_if(queuedLoads_.begin(), queuedLoads_.end(),
                                      [&](const OrderRequest &other) {
                                          return other.engine == wanted.engine
                                              && other.target == wanted.target;
                                      }),
                       queuedLoads_.end());
    controllers_.at(wanted.engine)->request(wanted.kind, wanted.target, nullptr);
}

bool OrderManager::isIdle(const UpstreamId &engine) const
{
    const auto controller = controllers_.find(engine);
    return controller != controllers_.end()
        && controller->second->stage() == EngineOrderController::Stage::Idle;
}

std::optional<OrderRecord> OrderManager::lastSettled(const UpstreamId &engine) const
{
    const auto controller = controllers_.find(engine);
    if (controller == controllers_.end())
        return std::nullopt;
    return controller->second->lastSettled();
}

bool OrderManager::isQuiet() const
{
    return std::none_of(controllers_.begin(), controllers_.end(),
                        [](const auto &entry) { return entry.second->outstanding().has_value(); });
}

std::vector<OrderManager::View> OrderManager::view() const
{
    std::vector<View> views;
    for (const auto &[id, controller] : controllers_)
        views.push_back(View{id, controller->stage(), controller->outstanding()});
    return views;
}

} // namespace cuminrail

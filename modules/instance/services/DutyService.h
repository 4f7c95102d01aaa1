#pragma once

#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "lease/manager/LeaseManager.h"
#include "orders/manager/OrderManager.h"
#include "ports/weights/WeightStore.h"
#include "usage/seal/UsageReporter.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The duties that this instance may hold: orders to a failure domain's engines, a team's usage.

    Each duty has a lease; what belongs to it is told when the lease is taken and lost, and asks
    for authority at the last moment before it acts. At a planned stop open orders are let end,
    then all duties are given back.
*/
class DutyService
{
public:
    struct Ports
    {
        ObjectStore store;
        EngineControl engines;
        UsageReceiver receiver;
        WeightStore weights;
    };

    DutyService(ControlPlane &control, MemberService &members, const InstanceIncarnation &self,
                Ports ports, const UsageTiming &usageTiming);
    DutyService(const DutyService &) = delete;
    DutyService &operator=(const DutyService &) = delete;

    /** Takes the failure domains, engines and teams of newer settings. */
    void configure(const Settings &settings);

    /** Gives an order, if this instance holds the engine's duty. */
    bool order(const OrderRequest &wanted, Reason *lastReason);

    /** Returns the keeper of a failure domain's orders, or null when settings name none. */
    OrderManager *ordersOf(const FailureDomainId &domain);
    /** Returns the right to act for a failure domain at this moment. */
    std::optional<Authority> authorityOf(const FailureDomainId &domain) const;

    static std::string ordersDuty(const FailureDomainId &domain)
    {
        return "orders/" + domain.text();
    }
    static std::string usageDuty(const TeamId &team) { return "usage/" + team.text(); }

private:
    LeaseManager::Hooks leaseHooks();
    std::unique_ptr<OrderManager> makeOrders(const FailureDomainId &domain);
    std::unique_ptr<UsageReporter> makeReporter(const TeamId &team);
    void taken(const std::string &duty);
    void lost(const std::string &duty);
    void tick();
    void stop(std::function<void()> done);
    bool isLiveCounter(const std::string &life) const;
    nlohmann::json describe() const;

    ControlPlane &control_;
    MemberService &members_;
    InstanceIncarnation self_;
    Ports ports_;
    UsageTiming usageTiming_;
    std::vector<std::string> duties_;
    std::map<std::string, std::unique_ptr<OrderManager>> orders_;
    std::map<std::string, std::unique_ptr<UsageReporter>> reporters_;
    std::map<UpstreamId, std::string> dutyOfEngine_;
    LeaseManager leases_;
};

} // namespace cuminrail

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
    The duties that this instance may hold: the orders to the engines of a failure domain and the
    usage reports of a team.

    Each duty has a lease. The order manager or usage reporter of a duty is notified when the lease
    is acquired and lost, and checks its authority immediately before it acts. At a planned stop
    all leases are released; replies to outstanding orders are ignored from then on.
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

    /** Applies the failure domains, engines and teams of new settings. */
    void configure(const Settings &settings);

    /** Requests an order to an engine; fails if this instance does not hold the engine's duty. */
    bool order(const OrderRequest &orderRequest, Reason *lastReason);

    /** Returns the order manager of a failure domain, or null if no settings have named it. */
    OrderManager *ordersOf(const FailureDomainId &domain);
    /** Returns the current authority to act for a failure domain, if this instance has it. */
    std::optional<Authority> authorityOf(const FailureDomainId &domain) const;

    static std::string ordersDuty(const FailureDomainId &domain)
    {
        return "orders/" + domain.text();
    }
    static std::string usageDuty(const TeamId &team) { return "usage/" + team.text(); }

private:
    LeaseManager::Hooks leaseHooks();
    std::unique_ptr<OrderManager> makeOrderManager(const FailureDomainId &domain);
    std::unique_ptr<UsageReporter> makeReporter(const TeamId &team);
    void onLeaseAcquired(const std::string &duty);
    void onLeaseLost(const std::string &duty);
    void tick();
    void stop(std::function<void()> done);
    bool isLiveIncarnation(const std::string &incarnationText) const;
    nlohmann::json describe() const;

    ControlPlane &control_;
    MemberService &members_;
    InstanceIncarnation self_;
    Ports ports_;
    UsageTiming usageTiming_;
    std::vector<std::string> duties_;
    std::map<std::string, std::unique_ptr<OrderManager>> orderManagers_;
    std::map<std::string, std::unique_ptr<UsageReporter>> reporters_;
    std::map<UpstreamId, std::string> dutyOfEngine_;
    LeaseManager leases_;
};

} // namespace cuminrail

#pragma once

#include "capacity/capacity.h"
#include "lease/lease.h"
#include "orders/orders.h"
#include "ports/testing/testing.h"
#include "scenario/world/ScenarioCalls.h"
#include "usage/usage.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

class ScenarioWorld;

/**
    One instance of a scenario: the control state machines that a real instance runs, put together
    in the same way, on the fakes of the world.
*/
class ScenarioInstance
{
public:
    ScenarioInstance(ScenarioWorld &world, const std::string &name, Incarnation incarnation,
                     const FailureDomainId &domain, Millis clockOffset);
    ScenarioInstance(const ScenarioInstance &) = delete;
    ScenarioInstance &operator=(const ScenarioInstance &) = delete;

    /** Does what is due, when the process runs. */
    void tick();
    /** Begins a planned stop; the process ends by itself when it has handed everything over. */
    void stop();

    FakeProcess &process() const { return *process_; }
    const FakeProcessPtr &processPtr() const { return process_; }
    const std::string &name() const { return process_->name(); }
    const FailureDomainId &domain() const { return domain_; }
    /** How far this instance's clock is from virtual time. */
    Millis clockOffset() const { return clockOffset_; }
    Incarnation incarnation() const { return life_.incarnation; }
    /** Returns the name of this life as usage counters have it. */
    std::string lifeName() const;
    bool isStopping() const { return stopping_; }
    ScenarioCalls &calls() { return *calls_; }
    LeaseManager &leases() { return *leases_; }
    UsageFlusher &usage(const TeamId &team) { return *flushers_.at(team); }

private:
    Clock clock() const;
    std::function<std::optional<Authority>()> authorityFor(const std::string &duty) const;
    void buildLeases();
    void buildOrders();
    void buildFleet();
    void buildUsage();
    void buildCalls();
    void changeDuty(const std::string &duty, bool isHeld);
    void pursueWishes();
    void pursueTargets();

    ScenarioWorld &world_;
    InstanceIncarnation life_;
    FailureDomainId domain_;
    Millis clockOffset_;
    FakeProcessPtr process_;
    std::unique_ptr<LeaseManager> leases_;
    std::map<FailureDomainId, std::unique_ptr<OrderManager>> orders_;
    std::map<Zone, std::unique_ptr<FleetManager>> zones_;
    std::unique_ptr<ScenarioCalls> calls_;
    std::map<TeamId, std::unique_ptr<UsageFlusher>> flushers_;
    std::map<TeamId, std::unique_ptr<UsageReporter>> reporters_;
    bool stopping_ = false;
};

} // namespace cuminrail

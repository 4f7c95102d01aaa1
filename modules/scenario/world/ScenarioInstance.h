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
    One instance of a scenario: the control state machines of a real instance, composed in the same
    way and connected to the world's fakes.
*/
class ScenarioInstance
{
public:
    ScenarioInstance(ScenarioWorld &world, const std::string &name, Incarnation incarnation,
                     const FailureDomainId &domain, Millis clockOffset);
    ScenarioInstance(const ScenarioInstance &) = delete;
    ScenarioInstance &operator=(const ScenarioInstance &) = delete;

    /** Performs due work if the process is running. */
    void tick();
    /** Begins a planned stop; the process exits once it has handed over all its duties and data. */
    void stop();

    FakeProcess &process() const { return *process_; }
    const FakeProcessPtr &processPtr() const { return process_; }
    const std::string &name() const { return process_->name(); }
    const FailureDomainId &domain() const { return domain_; }
    /** Offset of this instance's clock from virtual time. */
    Millis clockOffset() const { return clockOffset_; }
    Incarnation incarnation() const { return identity_.incarnation; }
    /** Returns the name of this incarnation as used in usage counters. */
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
    void updateLease(const std::string &duty, bool isHeld);
    void requestWantedOrders();
    void requestWantedTargets();

    ScenarioWorld &world_;
    InstanceIncarnation identity_;
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

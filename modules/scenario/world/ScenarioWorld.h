#pragma once

#include "ports/testing/testing.h"
#include "scenario/world/ScenarioInstance.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/** Actual use by a team's customer, recorded at the instance where it occurred. */
struct CountedUse
{
    std::string instance;
    TeamId team;
    CustomerId customer;
    UsageCounters figures;
};

/**
    The instances of a scenario and their environment.

    Owns the fakes, the orders and fleet targets that operators request, and the fault injection.
*/
class ScenarioWorld
{
public:
    explicit ScenarioWorld(std::uint64_t seed) : scheduler(seed) { }
    ScenarioWorld(const ScenarioWorld &) = delete;
    ScenarioWorld &operator=(const ScenarioWorld &) = delete;

    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    FakeEngines engines{network};
    FakeFleet fleet{network};
    FakeUsageReceiver usage{network};
    FakeService service{network};
    Millis windowLength = Millis::seconds(20);

    // Setup, before start()
    void addInstance(const std::string &name, const FailureDomainId &domain);
    void addEngine(const UpstreamId &id, const FailureDomainId &domain, bool checksFence,
                   Millis orderDuration);
    void addZone(const Zone &zone) { zones_.push_back(zone); }
    void addTeam(const TeamId &team) { teams_.push_back(team); }
    /** Starts all instances and their ticks. */
    void start();

    // Queries by instances
    std::vector<std::string> duties() const;
    std::vector<InstanceId> liveMembers() const;
    bool isLive(const std::string &incarnationName) const;
    /** Returns true if the members know that this incarnation has ended. */
    bool isKnownGone(const std::string &incarnationName) const;
    WindowIndex currentWindow() const;
    const std::map<FailureDomainId, std::vector<OrderedEngine>> &enginesByDomain() const
    {
        return enginesByDomain_;
    }
    const std::vector<Zone> &zones() const { return zones_; }
    const std::map<Zone, std::uint32_t> &wantedTargets() const { return targets_; }
    const std::vector<TeamId> &teams() const { return teams_; }
    const std::map<UpstreamId, OrderRequest> &wishes() const { return orderRequests_; }
    /** Ports for an instance; they convert notAfter from the instance's clock to virtual time. */
    EngineControl enginePort(const ScenarioInstance &instance);
    FleetOrdering fleetPort(const ScenarioInstance &instance);
    UsageReceiver usagePort(const ScenarioInstance &instance);
    static std::string domainDuty(const FailureDomainId &domain)
    {
        return "domain/" + domain.text();
    }
    static std::string teamDuty(const TeamId &team) { return "team/" + team.text(); }

    // Actions and fault injection
    ScenarioInstance *instance(const std::string &name);
    bool hasInstance(const std::string &name) const { return domains_.count(name) != 0; }
    void wish(const OrderRequest &order) { orderRequests_[order.engine] = order; }
    void want(const Zone &zone, std::uint32_t count) { targets_[zone] = count; }
    void count(const CountedUse &use);
    /** Sends a call to an instance; ignored unless the instance runs and is not stopping. */
    void call(const ScenarioCall &call);
    void answerCaller(const CallerAnswer &answer) { answers_.push_back(answer); }
    void kill(const std::string &name);
    /** Kills the instance in the next event, after the message being sent has left. */
    void killAfterSending(const std::string &name);
    void restart(const std::string &name);
    void pause(const std::string &name, Millis span);
    void cut(const std::string &name, const std::string &endpoint, Millis span);
    void storeDown(Millis span);
    void storeSlow(Millis delay, Millis span);
    /**
        Loses the next @c times messages of this operation and leg whose subject starts with
        @c subject; an empty subject matches all.
    */
    void loseNext(const std::string &operation, const std::string &subject, MessageLeg leg,
                  int times);
    /** Sets an additional hook for each message, for the fault matrix. */
    void setMatrixHook(MessageHook hook) { matrixHook_ = std::move(hook); }

    // Inspection
    std::vector<std::string> holders(const std::string &duty);
    const std::vector<CountedUse> &countedUse() const { return countedUse_; }
    const std::vector<CallerAnswer> &answers() const { return answers_; }
    /** Returns true for an incarnation that ended other than by a planned stop. */
    bool wasKilled(const std::string &incarnationName) const
    {
        return killedAt_.count(incarnationName) != 0;
    }
    /** Returns every call that reached a running instance. */
    const std::vector<ScenarioCall> &calls() const { return calls_; }

private:
    struct LossRule
    {
        std::string operation;
        std::string subject;
        MessageLeg leg = MessageLeg::Reply;
        int times = 0;
    };

    void startInstance(const std::string &name);
    MessageFate fateOf(const FakeMessage &message);

    std::map<std::string, FailureDomainId> domains_;
    std::map<std::string, Incarnation> incarnations_;
    std::vector<std::unique_ptr<ScenarioInstance>> instances_;
    std::map<FailureDomainId, std::vector<OrderedEngine>> enginesByDomain_;
    std::vector<Zone> zones_;
    std::map<Zone, std::uint32_t> targets_;
    std::vector<TeamId> teams_;
    std::map<UpstreamId, OrderRequest> orderRequests_;
    std::vector<CountedUse> countedUse_;
    std::vector<LossRule> lossRules_;
    std::map<std::string, Millis> unresponsiveSince_;
    std::map<std::string, Millis> killedAt_;
    std::vector<CallerAnswer> answers_;
    std::vector<ScenarioCall> calls_;
    MessageHook matrixHook_;
};

} // namespace cuminrail

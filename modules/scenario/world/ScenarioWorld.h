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

/** What a team's customer has really used, counted where the use came about. */
struct CountedUse
{
    std::string instance;
    TeamId team;
    CustomerId customer;
    UsageCounters figures;
};

/**
    Everything outside the instances of a scenario, and the instances themselves.

    Holds the fakes, what operators want, and the means of breaking things.
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

    // Setting up, before start()
    void addInstance(const std::string &name, const FailureDomainId &domain);
    void addEngine(const UpstreamId &id, const FailureDomainId &domain, bool checksFence,
                   Millis orderDuration);
    void addZone(const Zone &zone) { zones_.push_back(zone); }
    void addTeam(const TeamId &team) { teams_.push_back(team); }
    /** Starts all instances and their ticks. */
    void start();

    // What instances ask
    std::vector<std::string> duties() const;
    std::vector<InstanceId> liveMembers() const;
    bool isLive(const std::string &life) const;
    /** Says whether a life is over, as far as the members know. */
    bool isKnownGone(const std::string &life) const;
    WindowIndex currentWindow() const;
    const std::map<FailureDomainId, std::vector<OrderedEngine>> &enginesByDomain() const
    {
        return enginesByDomain_;
    }
    const std::vector<Zone> &zones() const { return zones_; }
    const std::map<Zone, std::uint32_t> &wantedTargets() const { return targets_; }
    const std::vector<TeamId> &teams() const { return teams_; }
    const std::map<UpstreamId, OrderRequest> &wishes() const { return wishes_; }
    /** The ports compare notAfter with the clock of the instance that uses them. */
    EngineControl enginePort(const ScenarioInstance &instance);
    FleetOrdering fleetPort(const ScenarioInstance &instance);
    UsageReceiver usagePort(const ScenarioInstance &instance);
    static std::string domainDuty(const FailureDomainId &domain)
    {
        return "domain/" + domain.text();
    }
    static std::string teamDuty(const TeamId &team) { return "team/" + team.text(); }

    // Acting and breaking
    ScenarioInstance *instance(const std::string &name);
    bool hasInstance(const std::string &name) const { return domains_.count(name) != 0; }
    void wish(const OrderRequest &order) { wishes_[order.engine] = order; }
    void want(const Zone &zone, std::uint32_t count) { targets_[zone] = count; }
    void count(const CountedUse &use);
    /** A caller asks something of an instance. */
    void call(const ScenarioCall &call);
    void answerCaller(const CallerAnswer &answer) { answers_.push_back(answer); }
    void kill(const std::string &name);
    /** Kills it in the next moment, when what it is just sending is on its way. */
    void killAfterSending(const std::string &name);
    void restart(const std::string &name);
    void pause(const std::string &name, Millis span);
    void cut(const std::string &name, const std::string &endpoint, Millis span);
    void storeDown(Millis span);
    void storeSlow(Millis delay, Millis span);
    /** Loses the next messages that match; an empty part matches all. */
    void loseNext(const std::string &operation, const std::string &subject, MessageLeg leg,
                  int times);
    /** A second look at each message, for the fault matrix. */
    void setMatrixHook(MessageHook hook) { matrixHook_ = std::move(hook); }

    // Looking
    std::vector<std::string> holders(const std::string &duty);
    const std::vector<CountedUse> &countedUse() const { return counted_; }
    const std::vector<CallerAnswer> &answers() const { return answers_; }
    /** Returns true for a life that ended otherwise than by a planned stop. */
    bool wasKilled(const std::string &life) const { return stopped_.count(life) != 0; }
    /** Every call that reached a running instance. */
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
    std::map<UpstreamId, OrderRequest> wishes_;
    std::vector<CountedUse> counted_;
    std::vector<LossRule> losses_;
    std::map<std::string, Millis> silentSince_;
    std::map<std::string, Millis> stopped_;
    std::vector<CallerAnswer> answers_;
    std::vector<ScenarioCall> calls_;
    MessageHook matrixHook_;
};

} // namespace cuminrail

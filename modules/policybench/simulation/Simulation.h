#pragma once

#include "core/simulated/EventQueue.h"
#include "policybench/engine/FakeEngine.h"
#include "policybench/policy/InstancePolicy.h"
#include "policybench/roles/RoleControl.h"
#include "policybench/score/Score.h"
#include "policybench/workload/Workload.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cuminrail::policybench {

/** One run: instances that decide, engines that work, and messages between them that take time. */
class Simulation
{
public:
    Simulation(const Workload &workload, PolicyKind policy, std::uint64_t seed);
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** Runs to the end, and until all requests have ended. */
    const std::vector<RequestRecord> &run();

    /** Adds what the engines did to a score. */
    void describeEngines(Score &score) const;

private:
    /** A request between submit and its end. */
    struct Flight
    {
        AdmissionTicket ticket = 0;
        RoutingTicket routing;
        RoutingRequest request;
        RoutingChoice choice;
        std::uint32_t attempts = 0;
        /** The present attempt; late messages of earlier ones are not for it. */
        std::uint64_t jobId = 0;
        bool firstTokenSeen = false;
    };

    void setUpInstances(PolicyKind policy, std::uint64_t seed);
    void publishTable();
    void scheduleArrivals(std::size_t next);
    void scheduleRegular();
    void scheduleOutages();
    void reportLoads();
    void submit(std::size_t index);
    void apply(std::size_t instance, const AdmissionChanges &changes);
    void dispatch(std::size_t index);
    void send(std::size_t index, UpstreamIndex to, const EngineJob &job);
    void arrive(UpstreamIndex engine, const EngineJob &job);
    void step(UpstreamIndex engine);
    void progress(const JobEvent &event);
    void sawFirstToken(std::size_t index);
    void done(std::size_t index);
    void broke(std::uint64_t jobId, bool mayHaveRun);
    void end(std::size_t index, Ending ending);
    void changeRoles();
    void changeWhenEmpty(UpstreamIndex engine, EngineRole to);
    void crash(const Outage &outage);
    void comeBack(const Outage &outage);
    EngineJob jobFor(std::size_t index) const;
    double delayTo(std::size_t instance, UpstreamIndex engine) const;
    DomainIndex domainOf(std::size_t instance) const;
    Millis now() const { return Millis(static_cast<std::int64_t>(queue_.now())); }

    const Workload &workload_;
    EventQueue queue_;
    StableIndexes indexes_;
    FleetState facts_;
    AdmissionSettings admissionSettings_;
    std::shared_ptr<const RoutingTable> table_;
    std::vector<CustomerLimiter> sharedLimiters_;
    std::vector<std::unique_ptr<InstancePolicy>> instances_;
    std::vector<FakeEngine> engines_;
    std::vector<Flight> flights_;
    std::vector<RequestRecord> records_;
    std::vector<std::unordered_map<AdmissionTicket, std::size_t>> byTicket_;
    std::unordered_map<std::uint64_t, std::size_t> byJob_;
    std::uint64_t nextJob_ = 1;
    std::uint64_t reports_ = 0;
    std::size_t open_ = 0;
    RoleControl roles_;
    std::vector<bool> changing_;
    std::size_t roleChanges_ = 0;
};

} // namespace cuminrail::policybench

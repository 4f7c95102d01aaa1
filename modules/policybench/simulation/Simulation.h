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

/** One simulated run: instances, engines, and messages between them with network delays. */
class Simulation
{
public:
    Simulation(const Workload &workload, PolicyKind policy, std::uint64_t seed);
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** Runs the workload, then until all requests have ended or the completion time-out passed. */
    const std::vector<RequestRecord> &run();

    /** Adds the counters of the engines to a score. */
    void describeEngines(Score &score) const;

private:
    /** State of a request between its submission and its end. */
    struct RequestState
    {
        AdmissionTicket ticket = 0;
        RoutingTicket routing;
        RoutingRequest request;
        RoutingChoice choice;
        std::uint32_t attempts = 0;
        /** Job of the current attempt; late messages of earlier attempts are ignored. */
        std::uint64_t jobId = 0;
        bool prefillFinished = false;
    };

    void createInstances(PolicyKind policy, std::uint64_t seed);
    void publishTable();
    void scheduleArrivals(std::size_t next);
    void schedulePeriodicTasks();
    void scheduleOutages();
    void reportLoads();
    void submit(std::size_t index);
    void applyChanges(std::size_t instance, const AdmissionChanges &changes);
    void dispatch(std::size_t index);
    void sendJob(std::size_t index, UpstreamIndex to, const EngineJob &job);
    void deliverJob(UpstreamIndex engine, const EngineJob &job);
    void runStep(UpstreamIndex engine);
    void handleJobEvent(const JobEvent &event);
    void handleFirstToken(std::size_t index);
    void handleCompletion(std::size_t index);
    void handleFailure(std::uint64_t jobId, bool mayHaveRun);
    void finishRequest(std::size_t index, Ending ending);
    void changeRoles();
    void changeRoleWhenIdle(UpstreamIndex engine, EngineRole to);
    void failEngines(const Outage &outage);
    void recoverEngines(const Outage &outage);
    EngineJob makeJob(std::size_t index) const;
    double networkDelay(std::size_t instance, UpstreamIndex engine) const;
    DomainIndex domainOf(std::size_t instance) const;
    Millis now() const { return Millis(static_cast<std::int64_t>(queue_.now())); }

    const Workload &workload_;
    EventQueue queue_;
    StableIndexes indexes_;
    FleetState fleetState_;
    AdmissionSettings admissionSettings_;
    std::shared_ptr<const RoutingTable> table_;
    std::vector<CustomerLimiter> sharedLimiters_;
    std::vector<std::unique_ptr<InstancePolicy>> instances_;
    std::vector<FakeEngine> engines_;
    std::vector<RequestState> requestStates_;
    std::vector<RequestRecord> records_;
    std::vector<std::unordered_map<AdmissionTicket, std::size_t>> requestByTicket_;
    std::unordered_map<std::uint64_t, std::size_t> requestByJob_;
    std::uint64_t nextJob_ = 1;
    std::uint64_t reportCount_ = 0;
    std::size_t unfinishedRequests_ = 0;
    RoleControl roles_;
    std::vector<bool> roleChanging_;
    std::size_t roleChanges_ = 0;
};

} // namespace cuminrail::policybench

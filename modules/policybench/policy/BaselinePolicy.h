#pragma once

#include "policybench/policy/InstancePolicy.h"

#include <deque>
#include <unordered_map>

namespace cuminrail::policybench {

/**
    Conventional policies: a bounded FIFO queue in front of the engine slots, and round-robin,
    least-outstanding or prefix-affinity routing.

    A queued request is refused as soon as its first-token target has passed. Engines that failed
    are avoided for five seconds. Limits are enforced exactly. Requests that are not repeatable
    never run on reclaimable engines. Free slots are divided between instances as for cuminrail.
*/
class BaselinePolicy : public InstancePolicy
{
public:
    explicit BaselinePolicy(PolicySetup setup);

    AdmissionDecision submit(const AdmissionRequest &request, Millis now) override;
    AdmissionChanges firstToken(AdmissionTicket ticket, Millis now) override;
    AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                              Millis now) override;
    AdmissionChanges cancel(AdmissionTicket ticket, Millis now) override;
    AdmissionChanges tick(Millis now) override;
    void control(Millis now) override;
    std::optional<RoutingChoice> choose(const RoutingRequest &request, Millis now) override;

private:
    struct TrackedRequest
    {
        AdmissionRequest request;
        Millis expiresAt;
        bool running = false;
        bool prefilling = false;
    };

    bool hasCapacityFor(const TrackedRequest &tracked) const;
    void startRequest(TrackedRequest &tracked);
    void removeRequest(AdmissionTicket ticket, double outputTokens);
    void admitFromQueue(AdmissionChanges &changes, Millis now);
    bool isEligible(UpstreamIndex upstream, const RoutingRequest &request, Millis now,
                    bool lastResort) const;
    std::vector<UpstreamIndex> eligibleUpstreams(const RoutingRequest &request, Millis now) const;
    UpstreamIndex selectLeastOutstanding(const std::vector<UpstreamIndex> &candidates);
    UpstreamIndex selectByPrefix(const RoutingRequest &request,
                                 const std::vector<UpstreamIndex> &candidates);

    std::unordered_map<AdmissionTicket, TrackedRequest> trackedRequests_;
    std::deque<AdmissionTicket> queue_;
    AdmissionCapacity capacity_;
    PoolUse use_;
    AdmissionTicket nextTicket_ = 1;
    std::size_t roundRobinPosition_ = 0;
};

} // namespace cuminrail::policybench

#pragma once

#include "policybench/policy/InstancePolicy.h"

#include <deque>
#include <unordered_map>

namespace cuminrail::policybench {

/**
    What is customary: a bounded first-come queue before the engines' slots, and a simple choice.

    A waiting request whose target has passed is refused at once; engines that failed are left
    alone for five seconds; limits hold exactly; work that cannot be redone stays off reclaimable
    engines. Free slots are shared between instances as for cuminrail.
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
    struct Held
    {
        AdmissionRequest request;
        Millis giveUpAt;
        bool running = false;
        bool reading = false;
    };

    bool fits(const Held &held) const;
    void start(Held &held);
    void leave(AdmissionTicket ticket, double outputTokens);
    void serve(AdmissionChanges &changes, Millis now);
    bool mayUse(UpstreamIndex upstream, const RoutingRequest &request, Millis now,
                bool lastResort) const;
    std::vector<UpstreamIndex> usable(const RoutingRequest &request, Millis now) const;
    UpstreamIndex leastOutstanding(const std::vector<UpstreamIndex> &from);
    UpstreamIndex byPrefix(const RoutingRequest &request, const std::vector<UpstreamIndex> &from);

    std::unordered_map<AdmissionTicket, Held> held_;
    std::deque<AdmissionTicket> queue_;
    AdmissionCapacity capacity_;
    PoolUse use_;
    AdmissionTicket nextTicket_ = 1;
    std::size_t turn_ = 0;
};

} // namespace cuminrail::policybench

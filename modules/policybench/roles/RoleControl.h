#pragma once

#include "capacity/roles/RoleBalancer.h"
#include "policybench/workload/Workload.h"

#include <cstddef>
#include <vector>

namespace cuminrail::policybench {

/** How a run decides on roles. */
enum class RolePolicy : std::uint8_t {
    /** Roles stay as the settings have them. */
    Fixed,
    /** The capacity module's RoleBalancer. */
    Balancer,
    /** The baseline: as many prefill engines as the mix of the last second asks for. */
    FollowMix,
};

/** Watches what is asked for and decides on role changes, once a second. */
class RoleControl
{
public:
    RoleControl(RolePolicy policy, const Workload &workload);

    /** A request arrived. */
    void arrived(const WorkloadRequest &request);

    /** Returns the changes to make now. */
    std::vector<RoleChange> decide(const std::vector<RoleEngine> &engines, Millis now);

private:
    std::vector<RoleChange> followMix(const std::vector<RoleEngine> &engines,
                                      const ModelDemand &mix) const;

    RolePolicy policy_;
    const Workload &workload_;
    RoleBalancer balancer_{RoleBalancerOptions()};
    double promptMs_ = 0;
    double answerMs_ = 0;
    Millis decidedAt_;
};

} // namespace cuminrail::policybench

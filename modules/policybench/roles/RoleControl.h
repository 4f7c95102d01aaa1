#pragma once

#include "capacity/roles/RoleBalancer.h"
#include "policybench/workload/Workload.h"

#include <cstddef>
#include <vector>

namespace cuminrail::policybench {

/** How a run assigns engine roles. */
enum class RolePolicy : std::uint8_t {
    /** Roles stay as configured. */
    Fixed,
    /** The capacity module's RoleBalancer. */
    Balancer,
    /** The baseline: the share of prefill engines follows the request mix of the last second. */
    FollowMix,
};

/** Measures the offered load by phase and decides on role changes, once a second. */
class RoleControl
{
public:
    RoleControl(RolePolicy policy, const Workload &workload);

    /** Counts an arriving request into the demand. */
    void arrived(const WorkloadRequest &request);

    /** Returns the role changes to start now. */
    std::vector<RoleChange> decide(const std::vector<RoleEngine> &engines, Millis now);

private:
    std::vector<RoleChange> followMix(const std::vector<RoleEngine> &engines,
                                      const ModelDemand &mix) const;

    RolePolicy policy_;
    const Workload &workload_;
    RoleBalancer balancer_{RoleBalancerOptions()};
    double prefillMs_ = 0;
    double decodeMs_ = 0;
    Millis lastDecisionAt_;
};

} // namespace cuminrail::policybench

#include "policybench/roles/RoleControl.h"

#include "policybench/workload/WorkloadBuilder.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::policybench {

RoleControl::RoleControl(RolePolicy policy, const Workload &workload)
    : policy_(policy), workload_(workload)
{ }

void RoleControl::arrived(const WorkloadRequest &request)
{
    prefillMs_ += WorkloadBuilder::engineMs(request.promptTokens, 0);
    decodeMs_ += WorkloadBuilder::engineMs(0, request.outputTokens);
}

std::vector<RoleChange> RoleControl::decide(const std::vector<RoleEngine> &engines, Millis now)
{
    const double elapsedMs = std::max(1.0, static_cast<double>((now - lastDecisionAt_).count()));
    const ModelDemand mix{prefillMs_ / elapsedMs, decodeMs_ / elapsedMs};
    prefillMs_ = 0;
    decodeMs_ = 0;
    lastDecisionAt_ = now;
    if (policy_ == RolePolicy::Fixed)
        return {};
    if (policy_ == RolePolicy::FollowMix)
        return followMix(engines, mix);
    RoleInput input;
    input.engines = engines;
    input.demand[workload_.settings.fleet.models[0].id] = mix;
    return balancer_.decide(now, input);
}

std::vector<RoleChange> RoleControl::followMix(const std::vector<RoleEngine> &engines,
                                               const ModelDemand &mix) const
{
    const double sum = mix.prefillEngines + mix.decodeEngines;
    if (sum <= 0)
        return {};
    const auto all = static_cast<double>(engines.size());
    const double targetPrefill =
        std::clamp(std::round(all * mix.prefillEngines / sum), 1.0, all - 1);
    const auto prefill = static_cast<double>(
        std::count_if(engines.begin(), engines.end(),
                      [](const RoleEngine &engine) { return engine.role == EngineRole::Prefill; }));
    const EngineRole to = prefill < targetPrefill ? EngineRole::Prefill : EngineRole::Decode;
    const bool changing = std::any_of(engines.begin(), engines.end(),
                                      [](const RoleEngine &engine) { return engine.changing; });
    if (changing || prefill == targetPrefill)
        return {};
    const RoleEngine *leastBusy = nullptr;
    for (const RoleEngine &engine : engines) {
        const bool isCandidate = engine.role != to && engine.role != EngineRole::None;
        if (isCandidate && (leastBusy == nullptr || engine.running < leastBusy->running))
            leastBusy = &engine;
    }
    if (leastBusy == nullptr)
        return {};
    return {RoleChange{leastBusy->id, to, "the mix of the last second"}};
}

} // namespace cuminrail::policybench

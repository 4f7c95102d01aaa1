#include "dataplane/waiting/PromptDeferral.h"

namespace cuminrail {

PromptDecision PromptDeferral::decide(const PromptOutlook &outlook) const
{
    const auto elapsed = static_cast<double>(outlook.elapsed.count());
    const auto goal = static_cast<double>(outlook.goal.count());
    const auto patience = static_cast<double>(outlook.patience.count());
    if (elapsed + outlook.firstEventMillis <= settings_.goalShare * goal)
        return PromptDecision::Send;
    const double atOnce = outlook.firstEventMillis - outlook.waitMillis;
    if (elapsed + atOnce > patience)
        return PromptDecision::Refuse;
    if (outlook.waitMillis <= settings_.idleWaitMillis)
        return PromptDecision::Send;
    const auto queueAge = static_cast<double>(outlook.queueAge.count());
    return queueAge + atOnce > patience ? PromptDecision::Refuse : PromptDecision::Hold;
}

} // namespace cuminrail

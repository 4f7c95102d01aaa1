#include "dataplane/waiting/PromptDeferral.h"

namespace cuminrail {

PromptDecision PromptDeferral::decide(const PromptOutlook &outlook) const
{
    const auto elapsed = static_cast<double>(outlook.elapsed.count());
    const auto goal = static_cast<double>(outlook.goal.count());
    const auto patience = static_cast<double>(outlook.patience.count());
    if (elapsed + outlook.firstEventMillis <= settings_.goalShare * goal)
        return PromptDecision::Send;
    if (elapsed + outlook.firstEventMillis - outlook.waitMillis > patience)
        return PromptDecision::Refuse;
    return outlook.waitMillis <= settings_.idleWaitMillis ? PromptDecision::Send
                                                          : PromptDecision::Hold;
}

} // namespace cuminrail

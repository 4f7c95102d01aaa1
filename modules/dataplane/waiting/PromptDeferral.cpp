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
    const bool hasRoom = outlook.waitMillis <= settings_.idleWaitMillis;
    // The estimate of a very long prompt is a guess. Refused by it, such prompts would never be
    // read, and nothing would show that they could have been.
    if (hasRoom && elapsed <= goal)
        return PromptDecision::Send;
    if (elapsed + atOnce > patience)
        return PromptDecision::Refuse;
    if (hasRoom)
        return PromptDecision::Send;
    const auto queueAge = static_cast<double>(outlook.queueAge.count());
    return queueAge + atOnce > patience ? PromptDecision::Refuse : PromptDecision::Hold;
}

} // namespace cuminrail

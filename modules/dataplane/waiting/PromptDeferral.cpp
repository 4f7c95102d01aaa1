#include "dataplane/waiting/PromptDeferral.h"

namespace cuminrail {

PromptDecision PromptDeferral::decide(const PromptOutlook &outlook) const
{
    const auto elapsed = static_cast<double>(outlook.elapsed.count());
    const auto goal = static_cast<double>(outlook.goal.count());
    const auto callerTimeout = static_cast<double>(outlook.callerTimeout.count());
    if (elapsed + outlook.firstEventMillis <= settings_.goalShare * goal)
        return PromptDecision::Send;
    const double processingMillis = outlook.firstEventMillis - outlook.waitMillis;
    const bool hasRoom = outlook.waitMillis <= settings_.idleWaitMillis;
    // The estimate for a very long prompt is unreliable. If such prompts were rejected because of
    // it, none would ever be sent, and nothing would show that they could have been processed.
    if (hasRoom && elapsed <= goal)
        return PromptDecision::Send;
    if (elapsed + processingMillis > callerTimeout)
        return PromptDecision::Refuse;
    if (hasRoom)
        return PromptDecision::Send;
    const auto queueAge = static_cast<double>(outlook.queueAge.count());
    return queueAge + processingMillis > callerTimeout ? PromptDecision::Refuse
                                                       : PromptDecision::Defer;
}

} // namespace cuminrail

#include "admission/queue/FairQueue.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

FairQueue::FlowIndex FairQueue::addFlow(double weight)
{
    Flow flow;
    flow.weight = weight;
    flows_.push_back(flow);
    return static_cast<FlowIndex>(flows_.size() - 1);
}

void FairQueue::activate(FlowIndex index)
{
    Flow &flow = flows_[index];
    if (flow.active)
        return;
    flow.active = true;
    flow.start = std::max(earliestStart(), flow.finish);
    active_.emplace(flow.start, index);
    activeWeight_ += flow.weight;
}

/** Otherwise a flow that was idle for an hour would be served alone until it caught up. */
double FairQueue::earliestStart() const
{
    return guardEnabled(Guard::NoIdleCredit) ? virtualTime_ : 0;
}

void FairQueue::deactivate(FlowIndex index)
{
    Flow &flow = flows_[index];
    if (!flow.active)
        return;
    flow.active = false;
    active_.erase({flow.start, index});
    activeWeight_ = active_.empty() ? 0 : activeWeight_ - flow.weight;
}

std::optional<FairQueue::FlowIndex> FairQueue::next() const
{
    if (active_.empty())
        return std::nullopt;
    return active_.begin()->second;
}

void FairQueue::charge(FlowIndex index, double cost)
{
    Flow &flow = flows_[index];
    const double start = flow.active ? flow.start : std::max(virtualTime_, flow.finish);
    virtualTime_ = std::max(virtualTime_, start);
    flow.finish = start + cost / flow.weight;
    if (flow.active)
        move(index, flow.finish);
}

void FairQueue::adjust(FlowIndex index, double difference)
{
    Flow &flow = flows_[index];
    flow.finish += difference / flow.weight;
    if (flow.active)
        move(index, std::max(earliestStart(), flow.start + difference / flow.weight));
}

void FairQueue::move(FlowIndex index, double start)
{
    Flow &flow = flows_[index];
    active_.erase({flow.start, index});
    flow.start = start;
    active_.emplace(start, index);
}

} // namespace cuminrail

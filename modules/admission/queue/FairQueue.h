#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cuminrail {

/**
    Start-time fair queueing over flows, by cost and weight.

    Each flow has a start tag in virtual time. The flow with the least tag is served, and its next
    start tag is cost divided by weight later. Virtual time is the start tag of the flow served
    last. A flow that becomes active starts at virtual time: it accumulates no credit while idle, so
    a customer that returns cannot monopolise the queue. Work-conserving: there is always a next
    flow while one is active.

    Orders flows, not requests; costs may have any unit. Logarithmic in the number of active flows.
*/
class FairQueue
{
public:
    using FlowIndex = std::uint32_t;

    /** Adds a flow and returns its index. */
    FlowIndex addFlow(double weight);
    void setWeight(FlowIndex flow, double weight) { flows_[flow].weight = weight; }

    /** Marks the flow as having requests to serve. */
    void activate(FlowIndex flow);

    /** Marks the flow as empty, or as not to be served for now. */
    void deactivate(FlowIndex flow);

    /** Returns the active flow to be served next. */
    std::optional<FlowIndex> next() const;

    /** Charges the flow for a served request, whether it is active or not. */
    void charge(FlowIndex flow, double cost);

    /** Adjusts an earlier charge by the difference, positive for a higher cost. */
    void adjust(FlowIndex flow, double difference);

    bool isActive(FlowIndex flow) const { return flows_[flow].active; }
    /** Sum of the weights of active flows. */
    double activeWeight() const { return activeWeight_; }
    double weight(FlowIndex flow) const { return flows_[flow].weight; }
    std::size_t activeCount() const { return active_.size(); }
    double virtualTime() const { return virtualTime_; }

private:
    struct Flow
    {
        double weight = 1;
        double start = 0;
        double finish = 0;
        bool active = false;
    };

    double earliestStart() const;
    void move(FlowIndex flow, double start);

    std::vector<Flow> flows_;
    std::set<std::pair<double, FlowIndex>> active_;
    double virtualTime_ = 0;
    double activeWeight_ = 0;
};

} // namespace cuminrail
